import type {Instant} from '@zinniaspindle/shared';

interface Scheduled {
  readonly at: Instant;
  readonly order: number;
  readonly run: () => void;
}

/** A clock that jumps from one scheduled call to the next. */
export class VirtualClock {
  private readonly heap: Scheduled[] = [];
  private order = 0;

  constructor(private current: Instant = 0) {}

  /** The present instant. */
  get now(): Instant {
    return this.current;
  }

  /** Runs a call at an instant; calls at the same instant keep their order. */
  runAt(at: Instant, run: () => void): void {
    this.order += 1;
    this.heap.push({at: Math.max(at, this.current), order: this.order, run});
    this.sortUp(this.heap.length - 1);
  }

  /** Runs a call after a number of milliseconds. */
  runAfter(milliseconds: number, run: () => void): void {
    this.runAt(this.current + milliseconds, run);
  }

  /** Runs every call up to and including an instant, then stands there. */
  runUntil(end: Instant): void {
    for (;;) {
      const first = this.heap[0];
      if (first === undefined || first.at > end) break;
      this.removeFirst();
      this.current = first.at;
      first.run();
    }
    this.current = Math.max(this.current, end);
  }

  private removeFirst(): void {
    const last = this.heap.pop()!;
    if (this.heap.length === 0) return;
    this.heap[0] = last;
    this.sortDown(0);
  }

  private sortUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(this.heap[parent]!, this.heap[index]!)) return;
      this.swapAt(parent, index);
      index = parent;
    }
  }

  private sortDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (this.isBeforeAt(left, least)) least = left;
      if (this.isBeforeAt(right, least)) least = right;
      if (least === index) return;
      this.swapAt(least, index);
      index = least;
    }
  }

  private isBeforeAt(a: number, b: number): boolean {
    const first = this.heap[a];
    return first !== undefined && isBefore(first, this.heap[b]!);
  }

  private swapAt(a: number, b: number): void {
    const held = this.heap[a]!;
    this.heap[a] = this.heap[b]!;
    this.heap[b] = held;
  }
}

function isBefore(a: Scheduled, b: Scheduled): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
