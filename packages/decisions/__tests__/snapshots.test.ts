import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ObjectKind, toId, type AccountId} from '@zinniaspindle/shared';
import {
  createConfiguration,
  createSnapshots,
  decideSnapshots,
  defaultConfigurationOptions,
  SnapshotEventKind,
  SubmitOutcome,
  type SnapshotCommand,
  type SnapshotEvent,
  type SnapshotState,
  type WriterId,
} from '../src/index.js';

const writer = toId<WriterId>('w1');
const tick: SnapshotEvent = {kind: SnapshotEventKind.Tick};

function makeSnapshots(objects: number): SnapshotState {
  const configuration = createConfiguration({
    ...defaultConfigurationOptions,
    bootstrapOperator: toId<AccountId>('root'),
  });
  for (let index = 0; index < objects; index += 1) {
    const name = toId<AccountId>(`a${index}`);
    const object = {
      kind: ObjectKind.Account,
      name,
      labels: {},
      tokenDigests: [],
      weight: 1,
      tokensPerSecond: 1,
      operator: true,
    } as const;
    configuration.objects.set(`account/${name}`, {revision: index, object});
  }
  configuration.position = objects;
  const options = {
    writer,
    retentionMilliseconds: 1000,
    objectsPerPart: 2,
    retryMilliseconds: 50,
  };
  return createSnapshots(options, configuration);
}

function run(
  state: SnapshotState,
  event: SnapshotEvent,
  now: number,
): readonly SnapshotCommand[] {
  const step = decideSnapshots(state, event, now, () => 0);
  if (step.isErr) throw step.error;
  return step.value.commands;
}

test('the other parts are submitted once the first is read back', () => {
  const state = makeSnapshots(5);
  assert.deepEqual(run(state, tick, 0), []);
  assert.deepEqual(run(state, tick, 249), []);
  const [first, ...none] = run(state, tick, 250);
  assert.deepEqual(none, []);
  assert.deepEqual(
    [first!.record.covers, first!.record.part, first!.record.parts],
    [5, 0, 3],
  );
  const kind = SnapshotEventKind.SubmitResolved;
  const committed = {
    kind,
    token: first!.token,
    outcome: SubmitOutcome.Committed,
  } as const;
  const rest = run(state, committed, 260);
  assert.deepEqual(
    rest.map(command => command.record.part),
    [1, 2],
  );
  const counts = [first!, ...rest].map(({record}) => record.objects.length);
  assert.deepEqual(counts, [2, 2, 1]);
});

test("another VM's first part cancels this VM's snapshot", () => {
  const state = makeSnapshots(5);
  run(state, tick, 0);
  const [first] = run(state, tick, 250);
  const begun = SnapshotEventKind.SnapshotBegun;
  const other = toId<WriterId>('w2');
  run(state, {kind: begun, writer: other}, 255);
  const kind = SnapshotEventKind.SubmitResolved;
  const committed = {
    kind,
    token: first!.token,
    outcome: SubmitOutcome.Committed,
  } as const;
  assert.deepEqual(run(state, committed, 260), []);
  assert.deepEqual(run(state, tick, 300), []);
  assert.equal(
    run(state, tick, 305).length,
    1,
    'the other snapshot was not completed',
  );
});

test('a complete snapshot of any VM delays the next one', () => {
  const state = makeSnapshots(1);
  run(state, tick, 0);
  const snapshot = {covers: 1, offset: 3, time: 240};
  run(state, {kind: SnapshotEventKind.SnapshotCompleted, snapshot}, 245);
  assert.deepEqual(run(state, tick, 489), []);
  assert.equal(run(state, tick, 490).length, 1);
});

test('no snapshot is written without objects or after a gap', () => {
  const empty = makeSnapshots(0);
  run(empty, tick, 0);
  assert.deepEqual(run(empty, tick, 10_000), []);
  const state = makeSnapshots(1);
  run(state, tick, 0);
  state.configuration.gap = {from: 0, oldest: 5};
  assert.deepEqual(run(state, tick, 10_000), []);
});
