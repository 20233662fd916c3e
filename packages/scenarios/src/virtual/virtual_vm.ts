import type {Instant} from '@zinniaspindle/shared';
import type {VirtualClock} from './virtual_clock.js';

/**
 * A VM's process on a virtual clock. While it is paused nothing runs; what
 * was due then runs late, in order, when it resumes. Killed, it never runs.
 */
export class VirtualVm {
  private pausedUntil: Instant = 0;
  private cutUntil: Instant = 0;
  private killed = false;
  private readonly backlog: Array<() => void> = [];

  constructor(
    private readonly clock: VirtualClock,
    /** Milliseconds by which the VM's clock is ahead. */
    private readonly skewMilliseconds: number,
  ) {}

  /** The present instant by the VM's own clock. */
  get now(): Instant {
    return this.clock.now + this.skewMilliseconds;
  }

  /** Until when the process is paused; in the past while it runs. */
  get resumesAt(): Instant {
    return this.pausedUntil;
  }

  /** Whether the process is gone. */
  get isKilled(): boolean {
    return this.killed;
  }

  /** Stops the process until an instant. */
  stopUntil(instant: Instant): void {
    this.pausedUntil = Math.max(this.pausedUntil, instant);
  }

  /** Whether the VM can't reach the log. */
  get isCut(): boolean {
    return this.clock.now < this.cutUntil;
  }

  /** Keeps the VM from the log until an instant. */
  dropLogUntil(instant: Instant): void {
    this.cutUntil = Math.max(this.cutUntil, instant);
  }

  /** Ends the process for good. */
  close(): void {
    this.killed = true;
  }

  /** Runs a call now, or once the process resumes. */
  run(call: () => void): void {
    if (this.killed) return;
    if (!this.isPaused && this.backlog.length === 0) {
      call();
      return;
    }
    this.backlog.push(call);
    if (this.backlog.length === 1) this.waitForResume();
  }

  /** Runs a call after a number of milliseconds, or late. */
  runAfter(milliseconds: number, call: () => void): void {
    this.clock.runAfter(milliseconds, () => this.run(call));
  }

  private get isPaused(): boolean {
    return this.clock.now < this.pausedUntil;
  }

  private waitForResume(): void {
    this.clock.runAt(this.pausedUntil, () => this.runBacklog());
  }

  private runBacklog(): void {
    while (!this.killed && this.backlog.length > 0) {
      if (this.isPaused) {
        this.waitForResume();
        return;
      }
      this.backlog.shift()!();
    }
  }
}
