interface Waiter {
  readonly priority: number;
  readonly order: number;
  readonly grant: () => void;
}

/** Gives a freed place back; further calls do nothing. */
export type ReleasePlace = () => void;

/** A limited number of places, given by priority and then by arrival. */
export class PrioritySemaphore {
  private readonly waiters: Waiter[] = [];
  private takenCount = 0;
  private order = 0;

  constructor(private readonly places: number) {}

  /** Places that are taken. */
  get taken(): number {
    return this.takenCount;
  }

  /** Callers that wait for a place. */
  get waiting(): number {
    return this.waiters.length;
  }

  /** Waits for a place; a higher priority goes first. */
  take(priority: number, signal: AbortSignal): Promise<ReleasePlace> {
    signal.throwIfAborted();
    if (this.takenCount < this.places) return Promise.resolve(this.addTaken());
    return new Promise((resolve, reject) => {
      const handleAbort = () => {
        this.waiters.splice(this.waiters.indexOf(waiter), 1);
        reject(signal.reason as Error);
      };
      const waiter: Waiter = {
        priority,
        order: (this.order += 1),
        grant: () => {
          signal.removeEventListener('abort', handleAbort);
          resolve(this.addTaken());
        },
      };
      signal.addEventListener('abort', handleAbort, {once: true});
      this.waiters.push(waiter);
      this.waiters.sort(compareWaiters);
    });
  }

  private addTaken(): ReleasePlace {
    this.takenCount += 1;
    let isHeld = true;
    return () => {
      if (!isHeld) return;
      isHeld = false;
      this.takenCount -= 1;
      this.waiters.shift()?.grant();
    };
  }
}

function compareWaiters(a: Waiter, b: Waiter): number {
  return b.priority - a.priority || a.order - b.order;
}
