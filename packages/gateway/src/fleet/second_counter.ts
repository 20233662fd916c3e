import type {Instant} from '@zinniaspindle/shared';

const buckets = 10;
const bucketMilliseconds = 100;

/** Counts what happened in the last second, in constant memory. */
export class SecondCounter {
  private readonly counts = new Array<number>(buckets).fill(0);
  /** Number of the newest bucket since the start of the clock. */
  private newest = -Infinity;

  /** Adds one. */
  add(now: Instant): void {
    const bucket = this.expireOld(now);
    this.counts[bucket % buckets]! += 1;
  }

  /** Counts those of the last second. */
  count(now: Instant): number {
    this.expireOld(now);
    let sum = 0;
    for (const count of this.counts) sum += count;
    return sum;
  }

  private expireOld(now: Instant): number {
    const bucket = Math.max(0, Math.floor(now / bucketMilliseconds));
    const first = Math.max(this.newest + 1, bucket - buckets + 1);
    for (let at = first; at <= bucket; at += 1) this.counts[at % buckets] = 0;
    this.newest = Math.max(this.newest, bucket);
    return this.newest;
  }
}
