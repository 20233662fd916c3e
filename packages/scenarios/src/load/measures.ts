import type {AccountId, EndpointId, Instant} from '@zinniaspindle/shared';
import {build, type Histogram} from 'hdr-histogram-js';

/** Milliseconds of one window of goodput. */
export const windowMilliseconds = 250;

/** How a request of a load run ended. */
export enum Ending {
  Cancelled = 'cancelled',
  Late = 'late',
  Lost = 'lost',
  OnTime = 'onTime',
  Refused = 'refused',
}

const microsecondsPerMillisecond = 1000;

/** Counts and times gathered in one load run, after its warm-up. */
export class Measures {
  readonly endings = new Map<Ending, number>();
  readonly refusals = new Map<string, number>();
  readonly firstTokens = createHistogram();
  /** Mean gap of each request. */
  readonly requestGaps = createHistogram();
  readonly tokenGaps = createHistogram();
  readonly refusalDelays = createHistogram();
  readonly offered = new Map<AccountId, number>();
  readonly good = new Map<AccountId, number>();
  /** Tokens of requests that ended on time, by window of delivery. */
  readonly windows: number[] = [];
  admitted = 0;
  /** Admitted requests that met both the first token and the gap target. */
  metBoth = 0;
  fresh = 0;
  retries = 0;
  decisions = 0;
  readonly lostEndpoints = new Set<EndpointId>();

  constructor(
    readonly from: Instant,
    readonly to: Instant,
  ) {}

  /** Tells whether a request sent at an instant counts. */
  isCounted(sendAt: Instant): boolean {
    return sendAt >= this.from && sendAt < this.to;
  }

  /** Adds tokens of one request to the windows of their delivery. */
  addWindows(windows: ReadonlyMap<number, number>): void {
    for (const [window, tokens] of windows) {
      this.windows[window] = (this.windows[window] ?? 0) + tokens;
    }
  }
}

/** Adds to a count. */
export function addCount<Key>(
  counts: Map<Key, number>,
  key: Key,
  amount = 1,
): void {
  counts.set(key, (counts.get(key) ?? 0) + amount);
}

/** Records milliseconds in a histogram of microseconds. */
export function recordMilliseconds(histogram: Histogram, value: number): void {
  histogram.recordValue(
    Math.max(1, Math.round(value * microsecondsPerMillisecond)),
  );
}

/** Reads a percentile in milliseconds. */
export function readPercentile(
  histogram: Histogram,
  percentile: number,
): number {
  const value = histogram.getValueAtPercentile(percentile);
  return value / microsecondsPerMillisecond;
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000_000,
    numberOfSignificantValueDigits: 3,
  });
}
