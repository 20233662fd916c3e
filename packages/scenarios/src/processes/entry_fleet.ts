import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {ListedPurpose, ListedState} from '@zinniaspindle/shared';
import {sendControl, stopChild} from '@zinniaspindle/stand-ins';
import {fetchReply} from './entry_calls.js';
import {
  type EntryProcess,
  type EntrySetup,
  startEntryProcess,
} from './entry_process.js';
import {Relay} from './relay.js';
import {makeNotReadyError, makeUnknownError} from './errors.js';

const readyMilliseconds = 30_000;
const pollMilliseconds = 50;

/** The part of an entry VM's status that the runner looks at. */
export interface EntryStatus {
  readonly ready: boolean;
  readonly takesActions: boolean;
  readonly objects: number;
  /** Names of the entry VMs that it knows. */
  readonly peers: readonly string[];
}

/** What every entry VM of a run has in common. */
export type CommonSetup = Omit<EntrySetup, 'dataCentre' | 'directory' | 'name'>;

/** The entry VMs of one run, as processes on the VM list. */
export class EntryFleet {
  private readonly directory = mkdtempSync(
    path.join(tmpdir(), 'zinniaspindle-scenario-'),
  );
  private readonly entries = new Map<string, EntryProcess>();
  private readonly links = new Map<string, readonly Relay[]>();

  constructor(private readonly common: CommonSetup) {}

  /** Entry VMs whose process has not ended. */
  list(): EntryProcess[] {
    const running: EntryProcess[] = [];
    for (const entry of this.entries.values()) {
      const {exitCode, signalCode} = entry.child;
      if (exitCode === null && signalCode === null) running.push(entry);
    }
    return running;
  }

  has(name: string): boolean {
    return this.entries.has(name);
  }

  get(name: string): EntryProcess {
    const entry = this.entries.get(name);
    if (entry === undefined) throw makeUnknownError('entry VM', name);
    return entry;
  }

  /** Starts an entry VM and puts it on the VM list. */
  async start(
    name: string,
    dataCentre: string,
    own: Partial<CommonSetup> = {},
  ): Promise<EntryProcess> {
    const {directory, common} = this;
    const log = await Relay.start(common.log);
    const vmList = await Relay.start(common.vmList);
    this.links.set(name, [log, vmList]);
    const entry = await startEntryProcess({
      ...common,
      ...own,
      ...{name, dataCentre, directory},
      ...{log: log.address, vmList: vmList.address},
    });
    this.entries.set(name, entry);
    const {address, peerAddress} = entry;
    const purpose = ListedPurpose.Entry;
    const state = ListedState.Live;
    const add = {id: name, purpose, state, dataCentre, address, peerAddress};
    await sendControl(common.vmList, {add});
    return entry;
  }

  /** Waits until an entry VM is ready, with a number of objects and peers. */
  async waitUntilReady(
    entry: EntryProcess,
    objects: number,
    peers: number,
  ): Promise<void> {
    const until = Date.now() + readyMilliseconds;
    let seen: EntryStatus | undefined;
    while (Date.now() < until) {
      seen = await fetchStatus(entry.address);
      if (isServing(seen) && seen.objects >= objects) {
        if (seen.peers.length >= peers) return;
      }
      const {exitCode} = entry.child;
      if (exitCode !== null) {
        throw makeNotReadyError(`entry VM ${entry.name} ended: ${exitCode}`);
      }
      await waitMilliseconds(pollMilliseconds);
    }
    const detail = JSON.stringify(seen ?? 'no status');
    throw makeNotReadyError(`entry VM ${entry.name} is not ready: ${detail}`);
  }

  /** Cuts an entry VM's links to the platform, or mends them. */
  setCut(name: string, isCut: boolean): void {
    this.get(name);
    for (const link of this.links.get(name) ?? []) link.setCut(isCut);
  }

  async stop(): Promise<void> {
    for (const links of this.links.values()) {
      for (const link of links) await link.stop();
    }
    for (const {child} of this.entries.values()) await stopChild(child);
    rmSync(this.directory, {recursive: true});
  }
}

async function fetchStatus(address: string): Promise<EntryStatus | undefined> {
  const call = {address, method: 'GET', path: '/v1/status', token: ''};
  try {
    const {status, body} = await fetchReply(call);
    return status === 200 ? (body as EntryStatus) : undefined;
  } catch {
    // Not listening yet.
    return undefined;
  }
}

function isServing(status: EntryStatus | undefined): status is EntryStatus {
  return status !== undefined && status.ready && status.takesActions;
}
