/**
 * Measures the fold of a configuration of 12,000 endpoints and 230 accounts
 * through 71,000 changes:
 * node --expose-gc --import tsx packages/scenarios/bench/configuration_bench.ts
 */
import {
  ConfigurationEventKind,
  createConfiguration,
  createJournal,
  decideJournal,
  defaultConfigurationOptions,
  defaultJournalOptions,
  encodeRecord,
  foldConfiguration,
  JournalCommandKind,
  JournalEventKind,
  listPipelineEndpoints,
  makeSnapshotParts,
  makeStateTransfer,
  RecordKind,
  type ConfigurationState,
  type JournalState,
  type ObjectChange,
  type WriterId,
} from '@zinniaspindle/decisions';
import {
  EndpointRole,
  formatObjectKey,
  ObjectKind,
  toId,
  type AccountId,
  type AccountObject,
  type ConfigObject,
  type DataCentreId,
  type EndpointId,
  type EndpointObject,
  type ModelName,
  type PipelineName,
  type PipelineObject,
  type PublishId,
  type StoredRecord,
  type VmId,
} from '@zinniaspindle/shared';
import {makeSeededRandom} from '../src/index.js';

const endpointCount = 12_000;
const accountCount = 230;
const modelCount = 27;
const changeCount = 71_000;
const layerCount = 64;
const changesPerPublish = 100;
const operator = toId<AccountId>('account0');
const random = makeSeededRandom(1);

function makeAccount(index: number): AccountObject {
  return {
    kind: ObjectKind.Account,
    name: toId<AccountId>(`account${index}`),
    labels: {size: index % 10 === 0 ? 'large' : 'small'},
    tokenDigests: [index.toString(16).padStart(64, '0')],
    weight: 1 + (index % 5),
    tokensPerSecond: 1000,
    operator: index === 0,
  };
}

function makePipeline(index: number): PipelineObject {
  return {
    kind: ObjectKind.Pipeline,
    name: toId<PipelineName>(`pipeline${index}`),
    labels: {},
    model: toId<ModelName>(`model${index}`),
    layerCount,
    endpointSelector: 'tier in (fast,slow),!blocked',
    accountSelector: 'size',
    maxTokens: 4096,
  };
}

function makeEndpoint(index: number, version: number): EndpointObject {
  const first = (index % 4) * 16;
  return {
    kind: ObjectKind.Endpoint,
    name: toId<EndpointId>(`endpoint${index}`),
    labels: {tier: index % 2 === 0 ? 'fast' : 'slow', version: `v${version}`},
    address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7000`,
    dataCentre: toId<DataCentreId>(`dc${index % 26}`),
    accelerator: `kind${index % 4}`,
    model: toId<ModelName>(`model${index % modelCount}`),
    layers: {first, end: first + 16},
    role: EndpointRole.Mixed,
    rates: {
      prefillTokensPerSecond: 5000,
      stepMilliseconds: 12,
      stepMillisecondsPerStream: 0.2,
      slots: 32,
    },
    checksFencing: index % 3 === 0,
    forwards: true,
  };
}

/** Writes the log and follows the revisions that later changes start from. */
class LogWriter {
  readonly records: StoredRecord[] = [];
  private readonly revisions = new Map<string, number>();

  appendPublish(objects: readonly ConfigObject[]): void {
    const offset = this.records.length;
    const changes: ObjectChange[] = [];
    for (const object of objects) {
      const {kind, name} = object;
      const key = formatObjectKey(object);
      const base = this.revisions.get(key) ?? -1;
      changes.push({key: {kind, name}, base, object});
      this.revisions.set(key, offset);
    }
    const data = encodeRecord({
      writer: toId<WriterId>(`vm${offset % 340}/1`),
      sequence: offset,
      body: {
        kind: RecordKind.Publish,
        publish: toId<PublishId>(`publish-${offset}`),
        operator,
        changes,
      },
    });
    this.records.push({offset, time: offset, data});
  }
}

function makeVmState(): [JournalState, ConfigurationState] {
  const journal = createJournal(
    {
      ...defaultJournalOptions,
      vm: toId<VmId>('vm1'),
      dataCentre: toId<DataCentreId>('dc1'),
      writer: toId<WriterId>('vm1/0'),
    },
    0,
  );
  const configuration = createConfiguration({
    ...defaultConfigurationOptions,
    bootstrapOperator: operator,
  });
  return [journal, configuration];
}

/** Folds records as a VM does: journal, decoding and configuration. */
function foldAll(
  journal: JournalState,
  configuration: ConfigurationState,
  records: readonly StoredRecord[],
): number {
  const batch = 1000;
  let accepted = 0;
  for (let start = 0; start < records.length; start += batch) {
    const slice = records.slice(start, start + batch);
    const next = slice[slice.length - 1]!.offset + 1;
    const response = {oldest: 0, next, records: slice};
    const kind = JournalEventKind.ReadAnswered;
    const step = decideJournal(journal, {kind, read: 0, response}, 0, random);
    if (step.isErr) throw step.error;
    for (const command of step.value.commands) {
      if (command.kind !== JournalCommandKind.Deliver) continue;
      const {record} = command;
      const delivered = ConfigurationEventKind.RecordDelivered;
      const event = {kind: delivered, record} as const;
      const folded = foldConfiguration(configuration, event, 0, random);
      if (folded.isOk && folded.value.commands.length > 1) accepted += 1;
    }
  }
  return accepted;
}

function measureMicroseconds(call: () => void): number {
  const started = process.hrtime.bigint();
  call();
  return Number(process.hrtime.bigint() - started) / 1000;
}

function readHeap(): number {
  for (let i = 0; i < 4; i += 1) globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function writeObjects(writer: LogWriter): void {
  writer.appendPublish([makeAccount(0)]);
  const objects: ConfigObject[] = [];
  for (let i = 1; i < accountCount; i += 1) objects.push(makeAccount(i));
  for (let i = 0; i < modelCount; i += 1) objects.push(makePipeline(i));
  for (let i = 0; i < endpointCount; i += 1) objects.push(makeEndpoint(i, 0));
  for (let i = 0; i < objects.length; i += changesPerPublish) {
    writer.appendPublish(objects.slice(i, i + changesPerPublish));
  }
}

function measureFold(): void {
  const writer = new LogWriter();
  writeObjects(writer);
  const filling = writer.records.length;
  for (let i = 0; i < changeCount; i += 1) {
    const index = Math.floor(random() * endpointCount);
    writer.appendPublish([makeEndpoint(index, i)]);
  }
  const first = writer.records.slice(0, filling);
  const changes = writer.records.slice(filling);
  const [journal, configuration] = makeVmState();
  // Both halves are decoded once, so that lazily flattened texts don't count.
  for (const {data} of writer.records) JSON.parse(data);
  const empty = readHeap();
  const fillTime = measureMicroseconds(() => {
    foldAll(journal, configuration, first);
  });
  journal.recent = [];
  const filled = readHeap();
  const count = configuration.objects.size;
  console.log(
    `filling: ${count} objects in ${filling} publishes, ${(fillTime / count).toFixed(1)} us an object`,
  );
  console.log(
    `memory: ${((filled - empty) / count).toFixed(0)} bytes an object, ${((filled - empty) / 1e6).toFixed(1)} MB`,
  );
  let accepted = 0;
  const foldTime = measureMicroseconds(() => {
    accepted = foldAll(journal, configuration, changes);
  });
  console.log(
    `folding: ${accepted} of ${changes.length} changes accepted, ${(foldTime / changes.length).toFixed(1)} us a record`,
  );
  const ringless = readHeap();
  journal.recent = [];
  const after = readHeap();
  console.log(
    `memory after: ${((after - empty) / 1e6).toFixed(1)} MB, and ${((ringless - after) / 1e6).toFixed(1)} MB for the ring of records`,
  );
  measureTransfer(journal, configuration);
  console.log(
    `records: ${writer.records.length + first.length + changes.length}`,
  );
}

function measureTransfer(
  journal: JournalState,
  configuration: ConfigurationState,
): void {
  let parts = makeSnapshotParts(configuration, 128);
  const cutTime = measureMicroseconds(() => {
    parts = makeSnapshotParts(configuration, 128);
  });
  const sizes = parts.map(part => JSON.stringify(part).length);
  const total = sizes.reduce((sum, size) => sum + size, 0);
  console.log(
    `snapshot: ${parts.length} parts, ${(total / 1e6).toFixed(2)} MB, largest ${Math.max(...sizes)} bytes, cut in ${(cutTime / 1000).toFixed(1)} ms`,
  );
  const transfer = makeStateTransfer(configuration, journal)!;
  const [, taker] = makeVmState();
  const takeTime = measureMicroseconds(() => {
    const kind = ConfigurationEventKind.TransferTaken;
    foldConfiguration(taker, {kind, transfer}, 0, random);
  });
  console.log(
    `transfer: ${(JSON.stringify(transfer).length / 1e6).toFixed(2)} MB as JSON, taken in ${(takeTime / 1000).toFixed(1)} ms`,
  );
  const selectTime = measureMicroseconds(() => {
    for (let i = 0; i < modelCount; i += 1) {
      listPipelineEndpoints(configuration, makePipeline(i));
    }
  });
  console.log(
    `selection: ${(selectTime / modelCount).toFixed(0)} us a pipeline after a change`,
  );
}

measureFold();
