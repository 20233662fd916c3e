import {StatsD} from 'hot-shots';
import type {VmId} from '@zinniaspindle/shared';

/** The metrics of an entry VM; docs/METRICS.md gives their units. */
export enum Metric {
  ActionsAnswered = 'actions.answered',
  EventsLogged = 'events.logged',
  FirstToken = 'requests.firstToken',
  PeerBytes = 'peers.bytesSent',
  RequestsAnswered = 'requests.answered',
  RequestsInFlight = 'requests.inFlight',
  TokenGap = 'requests.tokenGap',
  TokensDelivered = 'tokens.delivered',
}

/** How the values of a metric add up. */
export enum MetricKind {
  Counter = 'counter',
  Gauge = 'gauge',
  Histogram = 'histogram',
}

/** What a metric says. */
export interface MetricText {
  readonly kind: MetricKind;
  /** Unit of the value, such as "ms". */
  readonly unit: string;
  readonly meaning: string;
}

/** What each metric says; the source of docs/METRICS.md. */
export const metricTexts: Readonly<Record<Metric, MetricText>> = {
  [Metric.ActionsAnswered]: {
    kind: MetricKind.Counter,
    unit: 'actions',
    meaning: 'Protected actions that got their final answer.',
  },
  [Metric.EventsLogged]: {
    kind: MetricKind.Counter,
    unit: 'events',
    meaning: 'Numbered events reported to the log and the decision record.',
  },
  [Metric.FirstToken]: {
    kind: MetricKind.Histogram,
    unit: 'ms',
    meaning: 'Time from the arrival of a request to its first token.',
  },
  [Metric.PeerBytes]: {
    kind: MetricKind.Counter,
    unit: 'bytes',
    meaning: 'Bytes sent to other entry VMs.',
  },
  [Metric.RequestsAnswered]: {
    kind: MetricKind.Counter,
    unit: 'requests',
    meaning: 'Requests that got their final answer.',
  },
  [Metric.RequestsInFlight]: {
    kind: MetricKind.Gauge,
    unit: 'requests',
    meaning: 'Requests that this VM runs now.',
  },
  [Metric.TokenGap]: {
    kind: MetricKind.Histogram,
    unit: 'ms',
    meaning: 'Time between two tokens of one request.',
  },
  [Metric.TokensDelivered]: {
    kind: MetricKind.Counter,
    unit: 'tokens',
    meaning: 'Tokens taken into the answers of requests.',
  },
};

/** Where metrics are sent. */
export interface MetricsOptions {
  readonly vm: VmId;
  readonly host: string;
  readonly port: number;
}

/** Host setting that turns metrics off. */
const noHost = 'none';

/** Sends metrics to a StatsD collector, or nowhere. */
export class Metrics {
  private readonly client: StatsD | undefined;

  constructor(options: MetricsOptions) {
    if (options.host === noHost) return;
    this.client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: 'zinniaspindle.',
      globalTags: {vm: options.vm},
      // A collector that is away must not disturb the router.
      errorHandler: () => undefined,
    });
  }

  /** Adds to a counter. */
  count(metric: Metric, value = 1, tags: Record<string, string> = {}): void {
    this.client?.increment(metric, value, tags);
  }

  /** Sets a gauge. */
  set(metric: Metric, value: number): void {
    this.client?.gauge(metric, value);
  }

  /** Records a length of time in a histogram. */
  record(metric: Metric, milliseconds: number): void {
    this.client?.histogram(metric, milliseconds);
  }

  /** Sends what is left and closes the socket. */
  close(): void {
    this.client?.close(() => undefined);
  }
}
