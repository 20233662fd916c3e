import type {EntryProcess} from './entry_process.js';
import {fetchReply} from './entry_calls.js';

/** An answer of GET /v1/entries. */
interface EntriesAnswer {
  readonly entries: ReadonlyArray<{readonly address: string}>;
  readonly useUntil: number;
}

/** Lists the entry VMs that callers may know from before. */
export type ListEntries = () => readonly EntryProcess[];

/** One caller's knowledge of which entry VMs to use. */
export class Directory {
  private addresses: readonly string[] = [];
  private useUntil = 0;
  private next = 0;

  constructor(
    private readonly listEntries: ListEntries,
    private readonly token: string,
  ) {}

  /**
   * Picks an entry VM. The first choice stands until the answer is out of
   * date; each further try takes the next one.
   */
  async pick(attempt: number): Promise<string> {
    if (Date.now() >= this.useUntil || this.addresses.length === 0) {
      await this.update();
    }
    const {addresses} = this;
    if (addresses.length > 0) return addresses[attempt % addresses.length]!;
    const known = this.listEntries();
    return known[attempt % known.length]!.address;
  }

  /** Asks the entry VMs, one after another, until one answers. */
  private async update(): Promise<void> {
    const known = this.listEntries();
    for (let tried = 0; tried < known.length; tried += 1) {
      const {address} = known[(this.next + tried) % known.length]!;
      const answer = await this.fetchEntries(address);
      if (answer === undefined || answer.entries.length === 0) continue;
      this.next += tried + 1;
      this.addresses = answer.entries.map(entry => entry.address);
      this.useUntil = answer.useUntil;
      return;
    }
  }

  private async fetchEntries(
    address: string,
  ): Promise<EntriesAnswer | undefined> {
    const {token} = this;
    const signal = AbortSignal.timeout(1000);
    const call = {address, method: 'GET', path: '/v1/entries', token, signal};
    try {
      const {status, body} = await fetchReply(call);
      return status === 200 ? (body as EntriesAnswer) : undefined;
    } catch {
      // The next entry VM is asked.
      return undefined;
    }
  }
}
