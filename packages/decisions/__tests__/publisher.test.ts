import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  ObjectKind,
  toId,
  type AccountId,
  type PublishId,
} from '@zinniaspindle/shared';
import {
  createConfiguration,
  createPublisher,
  decidePublisher,
  defaultConfigurationOptions,
  defaultPublisherOptions,
  getPublishReport,
  PublishAnswer,
  PublisherCommandKind,
  PublisherEventKind,
  RecordKind,
  SubmitOutcome,
  type PublisherEvent,
  type PublisherState,
  type PublishOutcome,
  type PublishRecord,
  type SubmitToken,
} from '../src/index.js';

const operator = toId<AccountId>('root');
const publish = toId<PublishId>('p1');
const token = toId<SubmitToken>('vm1/publish-0');

function makePublisher(): PublisherState {
  const configuration = createConfiguration({
    ...defaultConfigurationOptions,
    bootstrapOperator: operator,
  });
  const options = {...defaultPublisherOptions, tokenPrefix: 'vm1/'};
  return createPublisher(options, configuration);
}

function makeRecord(weight = 1, base = -1): PublishRecord {
  const object = {
    kind: ObjectKind.Account,
    name: operator,
    labels: {},
    tokenDigests: [],
    weight,
    tokensPerSecond: 1,
    operator: true,
  } as const;
  const key = {kind: ObjectKind.Account, name: operator};
  const changes = [{key, base, object}];
  return {kind: RecordKind.Publish, publish, operator, changes};
}

/** Returns the answer of each command, or "submit". */
function run(
  state: PublisherState,
  event: PublisherEvent,
  now = 0,
): (PublishAnswer | 'submit')[] {
  const step = decidePublisher(state, event, now, Math.random);
  if (step.isErr) throw step.error;
  return step.value.commands.map(command =>
    command.kind === PublisherCommandKind.Answer
      ? command.report.answer
      : 'submit',
  );
}

function makePublishRequest(
  record = makeRecord(),
  giveUpAt = 1000,
): PublisherEvent {
  return {kind: PublisherEventKind.PublishRequested, record, giveUpAt};
}

function makeResolved(outcome: SubmitOutcome): PublisherEvent {
  return {kind: PublisherEventKind.SubmitResolved, token, outcome, offset: 3};
}

function makeDecided(faults: PublishOutcome['faults'] = []): PublisherEvent {
  const outcome = {publish, offset: 3, faults};
  return {kind: PublisherEventKind.PublishDecided, outcome};
}

test('a publish is accepted when it is folded, not when it is read back', () => {
  const state = makePublisher();
  assert.deepEqual(run(state, makePublishRequest()), ['submit']);
  assert.deepEqual(run(state, makeResolved(SubmitOutcome.Committed)), []);
  assert.deepEqual(run(state, makeDecided()), [PublishAnswer.Accepted]);
  assert.deepEqual(run(state, makeDecided()), []);
});

test('an invalid publish is refused without a submit', () => {
  const state = makePublisher();
  assert.deepEqual(run(state, makePublishRequest(makeRecord(0))), [
    PublishAnswer.Refused,
  ]);
});

test('a publish based on a revision that is not folded here is submitted', () => {
  const state = makePublisher();
  assert.deepEqual(run(state, makePublishRequest(makeRecord(1, 5))), [
    'submit',
  ]);
});

test('a publish that was never sent or is superseded is not accepted', () => {
  for (const outcome of [SubmitOutcome.NeverSent, SubmitOutcome.Superseded]) {
    const state = makePublisher();
    run(state, makePublishRequest());
    assert.deepEqual(run(state, makeResolved(outcome)), [
      PublishAnswer.NotAccepted,
    ]);
    const {answer} = getPublishReport(state, publish);
    assert.equal(answer, PublishAnswer.NotAccepted);
  }
});

test('an unknown publish is answered once, and its outcome found later', () => {
  const state = makePublisher();
  run(state, makePublishRequest());
  const unknown = makeResolved(SubmitOutcome.Unknown);
  assert.deepEqual(run(state, unknown), [PublishAnswer.Unknown]);
  assert.deepEqual(run(state, {kind: PublisherEventKind.Tick}, 2000), []);
  assert.equal(getPublishReport(state, publish).answer, PublishAnswer.Unknown);
  assert.deepEqual(run(state, makePublishRequest()), [PublishAnswer.Unknown]);
  state.configuration.outcomes.set(publish, {publish, offset: 3, faults: []});
  assert.deepEqual(run(state, makeDecided()), []);
  const report = getPublishReport(state, publish);
  assert.deepEqual([report.answer, report.offset], [PublishAnswer.Accepted, 3]);
  assert.deepEqual(run(state, makePublishRequest()), [PublishAnswer.Accepted]);
});

test('a repeated request waits for the first, until the earlier deadline', () => {
  const state = makePublisher();
  run(state, makePublishRequest(makeRecord(), 1000));
  assert.deepEqual(run(state, makePublishRequest(makeRecord(), 500)), []);
  const tick: PublisherEvent = {kind: PublisherEventKind.Tick};
  assert.deepEqual(run(state, tick, 499), []);
  assert.deepEqual(run(state, tick, 500), [PublishAnswer.Unknown]);
});
