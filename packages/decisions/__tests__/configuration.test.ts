import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  EndpointRole,
  ObjectKind,
  toId,
  type AccountObject,
  type ConfigObject,
  type EndpointObject,
  type PipelineObject,
  type PublishId,
} from '@zinniaspindle/shared';
import {
  checkPublish,
  ConfigurationCommandKind,
  ConfigurationEventKind,
  createConfiguration,
  defaultConfigurationOptions,
  findAccount,
  findPublishOutcome,
  foldConfiguration,
  getObject,
  listHistory,
  listObjects,
  listPipelineEndpoints,
  RecordKind,
  type ConfigurationCommand,
  type ConfigurationGuards,
  type ConfigurationInput,
  type ConfigurationState,
  type ObjectChange,
  type PublishRecord,
  type RecordBody,
  type SnapshotRecord,
  type StateTransfer,
  type WriterId,
} from '../src/index.js';

const operator = toId<AccountObject['name']>('root');
const digest = 'a'.repeat(64);

function makeState(guards: Partial<ConfigurationGuards> = {}) {
  return createConfiguration({
    ...defaultConfigurationOptions,
    bootstrapOperator: operator,
    guards: {...defaultConfigurationOptions.guards, ...guards},
  });
}

function run(
  state: ConfigurationState,
  event: ConfigurationInput,
): readonly ConfigurationCommand[] {
  const step = foldConfiguration(state, event, 0, Math.random);
  if (step.isErr) throw step.error;
  return step.value.commands;
}

function fold(
  state: ConfigurationState,
  offset: number,
  body: RecordBody,
  writer = 'w1',
): readonly ConfigurationCommand[] {
  const record = {
    offset,
    time: offset,
    writer: toId<WriterId>(writer),
    sequence: offset,
    body,
  };
  return run(state, {kind: ConfigurationEventKind.RecordDelivered, record});
}

function makeAccount(
  name: string,
  values: Partial<AccountObject> = {},
): AccountObject {
  return {
    kind: ObjectKind.Account,
    name: toId(name) as AccountObject['name'],
    labels: {},
    tokenDigests: [],
    weight: 1,
    tokensPerSecond: 100,
    operator: false,
    ...values,
  };
}

function makeEndpoint(
  name: string,
  values: Partial<EndpointObject> = {},
): EndpointObject {
  return {
    kind: ObjectKind.Endpoint,
    name: toId(name) as EndpointObject['name'],
    labels: {tier: 'fast'},
    address: '10.0.0.1:7000',
    dataCentre: toId('dc1') as EndpointObject['dataCentre'],
    accelerator: 'k1',
    model: toId('demo') as EndpointObject['model'],
    layers: {first: 0, end: 12},
    role: EndpointRole.Mixed,
    rates: {
      prefillTokensPerSecond: 1000,
      stepMilliseconds: 10,
      stepMillisecondsPerStream: 0.1,
      slots: 8,
    },
    checksFencing: true,
    forwards: true,
    ...values,
  };
}

function makePipeline(values: Partial<PipelineObject> = {}): PipelineObject {
  return {
    kind: ObjectKind.Pipeline,
    name: toId('letters') as PipelineObject['name'],
    labels: {},
    model: toId('demo') as PipelineObject['model'],
    layerCount: 24,
    endpointSelector: 'tier=fast',
    accountSelector: '',
    maxTokens: 100,
    ...values,
  };
}

function makeChange(object: ConfigObject, base = -1): ObjectChange {
  return {key: {kind: object.kind, name: object.name}, base, object};
}

function makePublish(
  publish: string,
  changes: readonly ObjectChange[],
  by = operator,
): PublishRecord {
  return {
    kind: RecordKind.Publish,
    publish: toId<PublishId>(publish),
    operator: by,
    changes,
  };
}

function startConfiguration(state: ConfigurationState): void {
  const root = makeAccount('root', {operator: true, tokenDigests: [digest]});
  fold(state, 0, makePublish('p0', [makeChange(root)]));
}

/** Lists the field of each fault of a publish. */
function listFaults(
  state: ConfigurationState,
  changes: readonly unknown[],
): string[] {
  const record = makePublish('check', changes as ObjectChange[]);
  return checkPublish(state, record).map(fault => fault.field);
}

test('only the bootstrap operator may publish into an empty configuration', () => {
  const state = makeState();
  const root = makeAccount('root', {operator: true});
  const other = toId('other') as typeof operator;
  fold(state, 0, makePublish('p0', [makeChange(root)], other));
  assert.equal(state.objects.size, 0);
  fold(state, 1, makePublish('p1', [makeChange(makeAccount('x'))]));
  assert.equal(state.objects.size, 0, 'no operator account would exist');
  fold(state, 2, makePublish('p2', [makeChange(root)]));
  assert.equal(state.objects.size, 1);
  fold(state, 3, makePublish('p3', [makeChange(makeAccount('y'))], other));
  assert.equal(state.objects.size, 1);
});

test('a stale base refuses the whole publish, but not unrelated publishes', () => {
  const state = makeState();
  startConfiguration(state);
  fold(state, 1, makePublish('p1', [makeChange(makeEndpoint('e1'))]));
  const second = makeEndpoint('e1', {labels: {tier: 'slow'}});
  fold(state, 2, makePublish('p2', [makeChange(second, 1)]));
  const stale = [
    makeChange(makeEndpoint('e1'), 1),
    makeChange(makeEndpoint('e2')),
  ];
  fold(state, 3, makePublish('p3', stale));
  fold(state, 4, makePublish('p4', [makeChange(makeEndpoint('e3'))]));
  const names = listObjects(state, ObjectKind.Endpoint).map(
    ({revision, object}) => `${object.name}@${revision}`,
  );
  assert.deepEqual(names, ['e1@2', 'e3@4']);
  const outcome = findPublishOutcome(state, toId<PublishId>('p3'))!;
  assert.deepEqual(outcome.faults, [
    {field: 'endpoint/e1.base', value: '1', reason: 'revision 2 is in force'},
  ]);
});

test('without the base check a stale publish takes effect', () => {
  const state = makeState({checksBase: false});
  startConfiguration(state);
  fold(state, 1, makePublish('p1', [makeChange(makeEndpoint('e1'))]));
  fold(state, 2, makePublish('p2', [makeChange(makeEndpoint('e1'))]));
  const key = {kind: ObjectKind.Endpoint, name: 'e1'};
  assert.equal(getObject(state, key)!.revision, 2);
});

test('a repeated publish id is folded once and keeps its first outcome', () => {
  const state = makeState();
  startConfiguration(state);
  const first = makePublish('p1', [makeChange(makeEndpoint('e1'))]);
  fold(state, 1, first);
  fold(state, 2, makePublish('p2', [{...first.changes[0]!, base: 1}]));
  const commands = fold(state, 3, first);
  assert.deepEqual(commands, [
    {
      kind: ConfigurationCommandKind.PublishDecided,
      outcome: {publish: 'p1', offset: 1, faults: []},
    },
  ]);
  const key = {kind: ObjectKind.Endpoint, name: 'e1'};
  assert.equal(getObject(state, key)!.revision, 2);
});

test('publishes update the selected endpoints, the history and the accounts', () => {
  const state = makeState();
  startConfiguration(state);
  const slow = makeEndpoint('e2', {labels: {tier: 'slow'}});
  const objects = [makePipeline(), makeEndpoint('e1'), slow];
  const changes = objects.map(object => makeChange(object));
  fold(state, 1, makePublish('p1', changes));
  const pipeline = makePipeline();
  const listNames = (): string[] =>
    listPipelineEndpoints(state, pipeline).map(endpoint => endpoint.name);
  assert.deepEqual(listNames(), ['e1']);
  const key = {kind: ObjectKind.Endpoint, name: 'e1'};
  fold(state, 2, makePublish('p2', [{key, base: 1}]));
  assert.deepEqual(listNames(), []);
  assert.equal(getObject(state, key), undefined);
  assert.deepEqual(
    listHistory(state, key).map(entry => [entry.revision, entry.publish]),
    [
      [1, 'p1'],
      [2, 'p2'],
    ],
  );
  assert.equal(findAccount(state, digest)?.name, 'root');
  assert.equal(findAccount(state, 'b'.repeat(64)), undefined);
});

test('each fault contains the path of its field', () => {
  const state = makeState();
  startConfiguration(state);
  const bad = {
    ...makeEndpoint('e1', {
      address: 'host',
      labels: {'-': 'x'},
      layers: {first: 5, end: 5.5},
    }),
    extra: 1,
  };
  assert.deepEqual(listFaults(state, [makeChange(bad)]), [
    'endpoint/e1.labels',
    'endpoint/e1.address',
    'endpoint/e1.layers.end',
    'endpoint/e1.extra',
  ]);
  const layers = {first: 5, end: 5};
  const expected: [unknown, string][] = [
    [null, 'changes[0].key'],
    [{key: {kind: 'toString', name: 'x'}, base: -1}, 'changes[0].key'],
    [{key: {kind: 'account', name: '-'}, base: -1}, 'changes[0].key.name'],
    [{key: {kind: 'account', name: 'x'}, base: -1}, 'account/x'],
    [{key: {kind: 'account', name: 'x'}, base: -1, object: null}, 'account/x'],
    [makeChange(makeEndpoint('e1', {layers})), 'endpoint/e1.layers'],
    [makeChange(makeAccount('x', {weight: 0})), 'account/x.weight'],
    [
      makeChange(makePipeline({endpointSelector: 'a in'})),
      'pipeline/letters.endpointSelector',
    ],
    [
      {...makeChange(makeAccount('x')), object: makeAccount('y')},
      'account/x.name',
    ],
  ];
  for (const [change, field] of expected) {
    assert.deepEqual(listFaults(state, [change]), [field]);
  }
  assert.deepEqual(listFaults(state, []), ['changes.length']);
});

test('a publish that contradicts other objects is refused', () => {
  const state = makeState();
  startConfiguration(state);
  fold(
    state,
    1,
    makePublish('p1', [
      makeChange(makePipeline()),
      makeChange(makeEndpoint('e1', {layers: {first: 12, end: 24}})),
    ]),
  );
  const expected: [ObjectChange, string][] = [
    [
      makeChange(makeEndpoint('e2', {layers: {first: 12, end: 25}})),
      'endpoint/e2.layers.end',
    ],
    [makeChange(makePipeline({layerCount: 20}), 1), 'endpoint/e1.layers.end'],
    [
      makeChange(
        makePipeline({
          name: toId('other') as PipelineObject['name'],
          layerCount: 30,
        }),
      ),
      'pipeline/other.layerCount',
    ],
    [
      makeChange(makeAccount('x', {tokenDigests: [digest]})),
      'account/x.tokenDigests',
    ],
    [
      {key: {kind: ObjectKind.Account, name: 'root'}, base: 0},
      'account/root.operator',
    ],
    [
      makeChange(makeAccount('root', {operator: false}), 0),
      'account/root.operator',
    ],
  ];
  for (const [change, field] of expected) {
    assert.equal(listFaults(state, [change])[0], field);
  }
});

function makePart(
  covers: number,
  part: number,
  parts: number,
  state: ConfigurationState,
): SnapshotRecord {
  const objects = part === 0 ? [...state.objects.values()] : [];
  const fates = part === 0 ? [...state.outcomes.values()] : [];
  return {kind: RecordKind.Snapshot, covers, part, parts, objects, fates};
}

test('nothing is folded after a gap until a complete snapshot covers it', () => {
  const source = makeState();
  startConfiguration(source);
  fold(source, 1, makePublish('p1', [makeChange(makeEndpoint('e1'))]));
  const late = makePublish('p2', [makeChange(makeEndpoint('e2'))]);
  fold(source, 12, late);

  const state = makeState();
  run(state, {kind: ConfigurationEventKind.GapFound, from: 0, oldest: 10});
  fold(state, 10, makePart(9, 0, 1, source), 'w0');
  assert.equal(state.objects.size, 0, 'the snapshot does not cover the gap');
  const before = makeState();
  startConfiguration(before);
  fold(before, 1, makePublish('p1', [makeChange(makeEndpoint('e1'))]));
  fold(state, 11, makePart(11, 0, 2, before), 'w2');
  fold(state, 12, late);
  fold(state, 13, makePart(11, 0, 3, before), 'w3');
  assert.equal(state.objects.size, 0);
  fold(state, 14, makePart(11, 1, 2, before), 'w2');
  assert.deepEqual(listObjects(state), listObjects(source));
  assert.deepEqual([...state.outcomes], [...source.outcomes]);
  assert.equal(state.position, 15);
});

test('an incomplete or unneeded snapshot changes nothing', () => {
  const source = makeState();
  startConfiguration(source);
  const state = makeState();
  run(state, {kind: ConfigurationEventKind.GapFound, from: 0, oldest: 5});
  fold(state, 5, makePart(5, 1, 2, source));
  fold(state, 6, makePart(5, 0, 3, source));
  fold(state, 7, makePart(5, 2, 3, source));
  fold(state, 8, makePart(5, 1, 3, source));
  assert.notEqual(state.gap, undefined);
  fold(state, 9, makePart(9, 0, 1, source));
  const objects = listObjects(state);
  fold(state, 10, makePart(9, 0, 1, makeState()), 'w9');
  assert.deepEqual(listObjects(state), objects);
});

function makeTransfer(
  source: ConfigurationState,
  covers: number,
): StateTransfer {
  const objects = [...source.objects.values()];
  return {covers, objects, fates: [...source.outcomes.values()], writers: []};
}

test('a transfer covers a gap, and never moves the position back', () => {
  const source = makeState();
  startConfiguration(source);
  const state = makeState();
  const kind = ConfigurationEventKind.TransferTaken;
  run(state, {kind: ConfigurationEventKind.GapFound, from: 0, oldest: 5});
  const early = {kind, transfer: makeTransfer(source, 4)} as const;
  assert.ok(foldConfiguration(state, early, 0, Math.random).isErr);
  run(state, {kind, transfer: makeTransfer(source, 7)});
  assert.equal(state.position, 7);
  run(state, {kind, transfer: makeTransfer(makeState(), 6)});
  assert.equal(state.objects.size, 1);
  const unguarded = makeState({movesForwardOnly: false});
  run(unguarded, {kind, transfer: makeTransfer(source, 7)});
  run(unguarded, {kind, transfer: makeTransfer(makeState(), 6)});
  assert.equal(unguarded.objects.size, 0);
});

test('outcomes and history are bounded', () => {
  const state = createConfiguration({
    ...defaultConfigurationOptions,
    bootstrapOperator: operator,
    maxOutcomes: 3,
    maxHistory: 4,
    maxHistoryPerObject: 2,
  });
  startConfiguration(state);
  let base = -1;
  for (let offset = 1; offset < 30; offset += 1) {
    const change = makeChange(makeEndpoint('e1'), base);
    fold(state, offset, makePublish(`p${offset}`, [change]));
    base = offset;
  }
  assert.deepEqual([...state.outcomes.keys()], ['p27', 'p28', 'p29']);
  const key = {kind: ObjectKind.Endpoint, name: 'e1'};
  assert.equal(listHistory(state, key).length, 2);
  assert.ok(state.historyKeys.length <= 8);
  assert.equal(
    listHistory(state, {...key, kind: ObjectKind.Account}).length,
    0,
  );
});

test('operators may start over after the loss of the log and all VMs', () => {
  const state = createConfiguration({
    ...defaultConfigurationOptions,
    bootstrapOperator: operator,
    emptyBelow: 10,
  });
  run(state, {kind: ConfigurationEventKind.GapFound, from: 0, oldest: 10});
  assert.equal(state.gap, undefined);
  const root = makeAccount('root', {operator: true});
  fold(state, 10, makePublish('p1', [makeChange(root)]));
  assert.equal(state.objects.size, 1);
});

test('malformed changes are refused without an exception', () => {
  const state = makeState();
  startConfiguration(state);
  const values: unknown[] = [null, 1, '', [], {}, {key: null}, {key: {}}];
  for (const [index, value] of values.entries()) {
    const record = makePublish(`m${index}`, [value as ObjectChange]);
    fold(state, index + 1, record);
    const outcome = findPublishOutcome(state, record.publish);
    assert.equal(outcome?.faults.length, 1);
  }
  assert.equal(state.objects.size, 1);
});
