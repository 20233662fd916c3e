import type {Instant} from '@zinniaspindle/shared';

/** Longest delay of a VM that is among the first to send. */
const voterDelayMilliseconds = 30;
/** The others send what none of the first has sent, spread over this time. */
const othersDelayMilliseconds = 200;

/** Time for a message to reach all VMs. */
const transitMilliseconds = 20;

/**
 * Computes the time after which all VMs have told what they know of a part; the
 * others tell nothing in a fleet that has only voters.
 */
export function computeNewsTime(hasOthers: boolean): number {
  const others = hasOthers ? othersDelayMilliseconds : 0;
  return voterDelayMilliseconds + others + transitMilliseconds;
}

/** Sends to the peers when answers on parts of a service reached a stage. */
export type SendAnswered = (
  service: string,
  answeredAt: ReadonlyMap<string, Instant>,
) => void;

/**
 * Tells the peers of parts on which answers reached a stage, each once: in a large
 * fleet many VMs see an answer on the same part, and the first one that sends
 * it silences the others.
 */
export class AnswerNews {
  /** When an answer on each part reached the stage, by service, if not sent. */
  private readonly pending = new Map<string, Map<string, Instant>>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly send: SendAnswered,
    private readonly isVoter: () => boolean,
    private readonly random: () => number,
  ) {}

  /** Adds a part on which an answer reached the stage. */
  add(service: string, part: string, at: Instant): void {
    const pending = this.pending.get(service) ?? new Map<string, Instant>();
    this.pending.set(service, pending);
    pending.set(part, at);
    this.timer ??= setTimeout(() => this.sendPending(), this.computeDelay());
  }

  /** Removes a part of which a peer has told the same. */
  remove(service: string, part: string, at: Instant): void {
    const pending = this.pending.get(service);
    if ((pending?.get(part) ?? Infinity) <= at) pending?.delete(part);
  }

  /** Drops what is to be sent. */
  close(): void {
    clearTimeout(this.timer);
    this.pending.clear();
  }

  private sendPending(): void {
    this.timer = undefined;
    for (const [service, parts] of this.pending) {
      if (parts.size > 0) this.send(service, parts);
    }
    this.pending.clear();
  }

  private computeDelay(): number {
    if (this.isVoter()) return this.random() * voterDelayMilliseconds;
    return voterDelayMilliseconds + this.random() * othersDelayMilliseconds;
  }
}
