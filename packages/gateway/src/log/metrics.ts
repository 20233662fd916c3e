import {build, type Histogram} from 'hdr-histogram-js';

/** Counters of the gateway; docs/METRICS.md lists them. */
export enum Counter {
  Requests = 'requests_total',
  Answered = 'requests_answered_total',
  Refused = 'requests_refused_total',
  RefusedForPause = 'requests_refused_for_pause_total',
  RefusedForParts = 'requests_refused_for_parts_total',
  Failed = 'requests_failed_total',
  Abandoned = 'requests_abandoned_total',
  CutOff = 'requests_cut_off_total',
  Unwritten = 'answers_unwritten_total',
  CallersPaused = 'callers_paused_total',
  CallersClosed = 'callers_closed_total',
  CallersTurnedAway = 'callers_turned_away_total',
  Retries = 'requests_retried_total',
  Resumed = 'streams_resumed_total',
  Stalls = 'paths_stalled_total',
  SlowPaths = 'paths_slow_total',
  StoreCalls = 'store_calls_total',
  StoreFailures = 'store_failures_total',
  Orders = 'orders_total',
  Probes = 'probes_total',
  Overruns = 'endpoint_overruns_total',
  Quarantines = 'quarantines_total',
  Relayed = 'connections_relayed_total',
  RelayedForPeers = 'connections_relayed_for_peers_total',
  PromptsHeld = 'prompts_held_total',
  PromptTokensSaved = 'prompt_tokens_saved_total',
  ConnectionsOpened = 'connections_opened_total',
  ConnectionsReused = 'connections_reused_total',
  DroppedClosed = 'connections_dropped_closed_total',
  DroppedExtraBytes = 'connections_dropped_extra_bytes_total',
  DroppedExpired = 'connections_dropped_expired_total',
  DroppedReplaced = 'connections_dropped_replaced_total',
  DroppedUnwanted = 'connections_dropped_unwanted_total',
  DroppedExcess = 'connections_dropped_excess_total',
  DroppedFailed = 'connections_dropped_failed_total',
}

/** Latency histograms, in milliseconds. */
export enum Latency {
  Answer = 'answer_milliseconds',
  Plain = 'plain_answer_milliseconds',
  Stream = 'stream_milliseconds',
  FirstEvent = 'first_event_milliseconds',
  EventGap = 'event_gap_milliseconds',
}

/** Values by rank, with the level as the label `rank`; 0 comes first. */
export enum RankMetric {
  Waiting = 'rank_waiting',
  Placed = 'rank_placed_total',
  Refused = 'rank_refused_total',
}

/** Descriptions of the metrics; the source of docs/METRICS.md. */
export const gatewayMetricTexts: Readonly<
  Record<Counter | Latency | RankMetric, string>
> = {
  [Counter.Requests]: 'Requests whose headers were received.',
  [Counter.Answered]: 'Requests answered with the answer of an endpoint.',
  [Counter.Refused]: 'Requests refused with 429 or 503 without having run.',
  [Counter.RefusedForPause]:
    'Requests among the refused that only pausing endpoints could serve.',
  [Counter.RefusedForParts]:
    'Requests among the refused that endpoints ended under, or whose prompts have such parts.',
  [Counter.Failed]:
    'Requests that the gateway answered with an error status other than 429 or 503, or whose answer was cut off.',
  [Counter.Abandoned]: 'Requests whose caller disconnected before the end.',
  [Counter.CutOff]: 'Requests in flight when the process exited.',
  [Counter.Unwritten]:
    'Complete answers whose connection closed before they were written out.',
  [Counter.CallersPaused]:
    'Times that requests sent ahead on a connection of a client had to wait.',
  [Counter.CallersClosed]:
    'Connections of clients that were closed to keep a bound of their listener.',
  [Counter.CallersTurnedAway]:
    'New connections of clients that were closed since all others were in use.',
  [Counter.Retries]: 'Retries of requests before the start of their answer.',
  [Counter.Resumed]: 'Streams resumed on another path after their last event.',
  [Counter.Stalls]: 'Checks of the endpoints of a silent path.',
  [Counter.SlowPaths]:
    'Times that a path began to run at least three times slower than predicted.',
  [Counter.StoreCalls]: 'Calls to the store.',
  [Counter.StoreFailures]: 'Failed calls to the store.',
  [Counter.Orders]: 'Orders sent to endpoints.',
  [Counter.Probes]: 'Reports requested from endpoints.',
  [Counter.Overruns]:
    'Answers of endpoints that exceeded a bound on their bytes and were closed.',
  [Counter.Quarantines]:
    'Times that a request or requests with some parts began to be refused.',
  [Counter.Relayed]:
    'Connections to endpoints that went through a peer, since those of this VM failed.',
  [Counter.RelayedForPeers]: 'Connections of peers passed on to endpoints.',
  [Counter.PromptsHeld]:
    'Streams sent to a path that presumably held the beginning of their prompt.',
  [Counter.PromptTokensSaved]:
    'Prompt tokens that presumably needed no prefill for these streams.',
  [Counter.ConnectionsOpened]:
    'Connections to endpoints that this VM opened for requests and calls.',
  [Counter.ConnectionsReused]: 'Uses of kept connections to endpoints.',
  [Counter.DroppedClosed]:
    'Connections dropped since the endpoint ended them or their answer said so.',
  [Counter.DroppedExtraBytes]:
    'Connections dropped since bytes came that belong to no request.',
  [Counter.DroppedExpired]:
    'Kept connections dropped shortly before their endpoint would close them.',
  [Counter.DroppedReplaced]:
    'Kept connections dropped since their endpoint restarted, moved or was removed.',
  [Counter.DroppedUnwanted]:
    'Connections dropped since their endpoint leaves, pauses, is suspected or not reached, or the VM stops.',
  [Counter.DroppedExcess]:
    'Kept connections dropped since more were idle than may be.',
  [Counter.DroppedFailed]:
    'Kept connections on which a request got no usable answer.',
  [Latency.Answer]:
    'Time from the receipt of a request to the end of its answer.',
  [Latency.Plain]:
    'Time from the receipt of a request of a safe or unsafe route until its answer is written out.',
  [Latency.Stream]:
    'Time from the receipt of a request until its stream is written out.',
  [Latency.FirstEvent]:
    'Time from the receipt of a request to the first event of its stream.',
  [Latency.EventGap]: 'Time between two consecutive events of a stream.',
  [RankMetric.Waiting]:
    'Streams that wait for a path at this VM, by rank (label `rank`, 0 to 7).',
  [RankMetric.Placed]: 'Times that streams got a place on a path, by rank.',
  [RankMetric.Refused]:
    'Times that streams got no place on a path in time, by rank.',
};

const prefix = 'zinniaspindle_gateway_';
const maxMilliseconds = 60_000;
/** A median of fewer values says little. */
const minMedianCount = 10;
/** Shares of fewer values say little about the longest ones. */
const minShareCount = 20;
const percentiles = [50, 95, 99, 99.9];

/** Builds a histogram of milliseconds. */
export function buildHistogram(): Histogram {
  return build({
    highestTrackableValue: maxMilliseconds,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}

/** Records a value in a histogram; values above a minute count as a minute. */
export function recordMilliseconds(
  histogram: Histogram,
  milliseconds: number,
): void {
  const value = Math.min(maxMilliseconds, Math.max(0, milliseconds));
  histogram.recordValue(Math.round(value));
}

/**
 * Finds the value that a share of the values of a histogram, from 0 to 1, stays
 * within; undefined before enough were recorded.
 */
export function findShare(
  histogram: Histogram,
  share: number,
): number | undefined {
  if (histogram.totalCount < minShareCount) return undefined;
  return histogram.getValueAtPercentile(share * 100);
}

/** Counters and latency histograms, rendered in the Prometheus text format. */
export class Metrics {
  private readonly counters = new Map<Counter, number>();
  private readonly latencies = new Map<Latency, Histogram>();
  /** By metric and level, of which there are few. */
  private readonly ranks = new Map<string, number>();

  /** Adds an amount, one if none is given, to a counter. */
  count(counter: Counter, amount = 1): void {
    this.counters.set(counter, (this.counters.get(counter) ?? 0) + amount);
  }

  /** Adds one to a counter of a rank. */
  countRank(metric: RankMetric, level: number): void {
    const key = formatRank(metric, level);
    this.ranks.set(key, (this.ranks.get(key) ?? 0) + 1);
  }

  /** Sets a value of a rank. */
  setRank(metric: RankMetric, level: number, value: number): void {
    this.ranks.set(formatRank(metric, level), value);
  }

  /** Records a latency; values above a minute count as a minute. */
  record(latency: Latency, milliseconds: number): void {
    let histogram = this.latencies.get(latency);
    if (histogram === undefined) {
      histogram = buildHistogram();
      this.latencies.set(latency, histogram);
    }
    recordMilliseconds(histogram, milliseconds);
  }

  /** Finds the median of a latency; undefined before enough were recorded. */
  findMedian(latency: Latency): number | undefined {
    const histogram = this.latencies.get(latency);
    if (histogram === undefined) return undefined;
    if (histogram.totalCount < minMedianCount) return undefined;
    return histogram.getValueAtPercentile(50);
  }

  /**
   * Finds the latency that a share of the values, from 0 to 1, stays within;
   * undefined before enough were recorded.
   */
  findShare(latency: Latency, share: number): number | undefined {
    const histogram = this.latencies.get(latency);
    return histogram === undefined ? undefined : findShare(histogram, share);
  }

  /** Renders all values, one per line. */
  render(): string {
    const lines: string[] = [];
    for (const counter of Object.values(Counter)) {
      const value = this.counters.get(counter) ?? 0;
      lines.push(`${prefix}${counter} ${value}`);
    }
    for (const [key, value] of this.ranks) {
      lines.push(`${prefix}${key} ${value}`);
    }
    for (const [latency, histogram] of this.latencies) {
      const name = `${prefix}${latency}`;
      for (const percentile of percentiles) {
        const value = histogram.getValueAtPercentile(percentile);
        lines.push(`${name}{quantile="${percentile / 100}"} ${value}`);
      }
      lines.push(`${name}_count ${histogram.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }
}

function formatRank(metric: RankMetric, level: number): string {
  return `${metric}{rank="${level}"}`;
}
