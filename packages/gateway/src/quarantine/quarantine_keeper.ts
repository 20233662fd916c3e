import {
  formatQuarantine,
  parseQuarantine,
  startTrial,
  type Quarantine,
  type StoreEra,
} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {EraWatch} from '../following/era_watch.js';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import {Topic, type Store} from '../ports/index.js';
import type {PartQuarantine} from './part_quarantine.js';

/** Key of the record that holds all quarantines. */
const recordKey = 'quarantines';
const retryMilliseconds = 1000;

/**
 * Keeps the quarantines in the store, for VMs that all start again: the owner of
 * the orders writes them. It also begins the trials, of which the store has to
 * know first, so that no other VM repeats one.
 */
export class QuarantineKeeper {
  private isBusy = false;
  private nextCallAt: Instant = -Infinity;
  private isLoaded: boolean;
  private savedText = '[]';
  /** Era in which they were written. */
  private savedEra: StoreEra;

  constructor(
    private readonly quarantine: PartQuarantine,
    private readonly store: Pick<Store, 'readNewest' | 'appendRecord'>,
    private readonly eras: Pick<EraWatch, 'known' | 'isPast' | 'acceptAnswer'>,
    private readonly isOwner: () => boolean,
    private readonly writeEvent: WriteEvent,
    private readonly metrics: Metrics,
    private readonly getNow: () => Instant,
    private readonly getWallClock: () => Instant,
    /** Whether the whole fleet starts for the first time. */
    isFirstStart: boolean,
  ) {
    this.isLoaded = isFirstStart;
  }

  /** Loads, writes or begins a trial, if that is due. */
  poll(): void {
    if (this.isBusy || this.getNow() < this.nextCallAt) return;
    const call = this.findCall();
    if (call === undefined) return;
    this.isBusy = true;
    this.metrics.count(Counter.StoreCalls);
    void call()
      .then(isDone => {
        if (isDone) return;
        this.metrics.count(Counter.StoreFailures);
        this.nextCallAt = this.getNow() + retryMilliseconds;
      })
      .finally(() => {
        this.isBusy = false;
      });
  }

  /** Gives the call that is due; it returns whether the store has done it. */
  private findCall(): (() => Promise<boolean>) | undefined {
    if (!this.isLoaded) return () => this.load();
    if (!this.isOwner()) return undefined;
    const [due] = this.quarantine.listDue();
    if (due !== undefined) return () => this.runTrial(due);
    const rows = this.quarantine.listRows();
    const text = JSON.stringify(rows);
    const isSaved = text === this.savedText && !this.eras.isPast(this.savedEra);
    return isSaved ? undefined : () => this.appendRows(text);
  }

  private async load(): Promise<boolean> {
    const newest = await this.store.readNewest(Topic.Quarantines);
    if (newest.isErr) return false;
    this.isLoaded = true;
    const record = newest.value.records.find(({key}) => key === recordKey);
    if (record?.value === undefined) return true;
    const quarantines = parseRows(record.value);
    if (quarantines === undefined) {
      const {key, offset} = record;
      const fields = {topic: Topic.Quarantines, key, offset};
      this.writeEvent(GatewayEvent.RecordRefused, fields);
    }
    for (const quarantine of quarantines ?? []) {
      this.quarantine.acceptQuarantine(quarantine, 'the store');
    }
    return true;
  }

  private async appendRows(text: string): Promise<boolean> {
    const {store, eras} = this;
    const known = eras.known;
    const value = Buffer.from(text);
    const saved = await store.appendRecord(Topic.Quarantines, recordKey, value);
    if (saved.isErr) return false;
    eras.acceptAnswer(saved.value.era);
    this.savedText = text;
    this.savedEra = saved.value.era ?? known;
    return true;
  }

  private async runTrial(due: Quarantine): Promise<boolean> {
    const started = startTrial(due, this.getWallClock());
    const rows = this.quarantine.listRows();
    const dueRow = JSON.stringify(formatQuarantine(due));
    const startedRows = rows.map(row =>
      JSON.stringify(row) === dueRow ? formatQuarantine(started) : row,
    );
    if (!(await this.appendRows(JSON.stringify(startedRows)))) return false;
    this.quarantine.openTrial(started);
    return true;
  }
}

/** Reads the record; undefined if any of it is malformed. */
function parseRows(value: Buffer): Quarantine[] | undefined {
  let rows: unknown;
  try {
    rows = JSON.parse(value.toString('utf8'));
  } catch {
    return undefined;
  }
  if (!Array.isArray(rows)) return undefined;
  const quarantines: Quarantine[] = [];
  for (const row of rows) {
    const quarantine = parseQuarantine(row);
    if (quarantine === undefined) return undefined;
    quarantines.push(quarantine);
  }
  return quarantines;
}
