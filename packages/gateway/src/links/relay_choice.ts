import type {Deadline, Instant} from '@zinniaspindle/shared';
import type {Relay} from './relay_client.js';

/** How long a peer that passed a connection on is asked before others. */
const provenMilliseconds = 5000;

/** Chooses the peers that are asked to pass connections on. */
export class RelayChoice {
  private readonly provenUntil = new Map<string, Deadline>();

  constructor(
    private readonly listRelays: () => readonly Relay[],
    private readonly getNow: () => Instant,
    private readonly random: () => number,
  ) {}

  /** Lists some peers at random, those first that have passed connections on. */
  list(count: number): Relay[] {
    const now = this.getNow();
    const ranked = this.listRelays().map(relay => {
      const isProven = (this.provenUntil.get(relay.vm) ?? -Infinity) > now;
      return {relay, rank: this.random() + (isProven ? 0 : 1)};
    });
    ranked.sort((a, b) => a.rank - b.rank);
    return ranked.slice(0, count).map(({relay}) => relay);
  }

  /** Records whether a peer passed a connection on. */
  record(vm: string, hasPassed: boolean): void {
    if (hasPassed) {
      this.provenUntil.set(vm, this.getNow() + provenMilliseconds);
    } else this.provenUntil.delete(vm);
  }
}
