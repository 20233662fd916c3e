import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FinalAnswer, toId, type ActionKey} from '@zinniaspindle/shared';
import {
  ActionCommandKind,
  ActionInputKind,
  CallFailure,
  createActionsState,
  decideActions,
  listClaims,
  RecordKind,
  SubmitOutcome,
  type ActionCommand,
  type ActionInput,
  type ActionRequest,
  type CommittedRecord,
  type RecordBody,
  type WriterId,
} from '../src/index.js';

const start = 1_700_000_000_000;
const retentionMilliseconds = 60_000;
const ownWriter: WriterId = toId('me');
const other: WriterId = toId('other');

function makeKey(madeAt: number, tail = 1): ActionKey {
  const time = madeAt.toString(16).padStart(12, '0');
  const end = tail.toString(16).padStart(12, '0');
  return toId(`${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${end}`);
}

/** The actions state machine of one VM, with a log offset per folded record. */
class ActionsHarness {
  readonly state;
  now = start;
  offset = 0;

  constructor(maxCallsPerService = 8) {
    this.state = createActionsState({
      writer: ownWriter,
      retentionMilliseconds,
      maxKeySkewMilliseconds: 1000,
      retryMilliseconds: 500,
      lookupMilliseconds: 300,
      resubmitMilliseconds: 500,
      maxCallsPerService,
      maxAttemptsPerService: 4,
    });
    this.apply({kind: ActionInputKind.ReadyChanged, ready: true});
  }

  apply(input: ActionInput): readonly ActionCommand[] {
    const step = decideActions(this.state, input, this.now, () => 0.5);
    if (step.isErr) throw step.error;
    return step.value.commands;
  }

  send(request: number, change: Partial<ActionRequest> = {}) {
    return this.apply({
      kind: ActionInputKind.Requested,
      request: {
        request,
        account: toId('lens'),
        key: makeKey(start),
        service: toId('orders'),
        digest: 'd1',
        deadline: this.now + 2000,
        callMilliseconds: 1000,
        hasLookup: false,
        repeats: false,
        ...change,
      },
    });
  }

  fold(writer: WriterId, body: RecordBody) {
    const {offset} = this;
    const time = this.now;
    const record: CommittedRecord = {
      writer,
      sequence: offset,
      body,
      offset,
      time,
    };
    this.offset += 1;
    return this.apply({kind: ActionInputKind.Folded, record});
  }

  runTickAt(now: number) {
    this.now = now;
    return this.apply({kind: ActionInputKind.Tick});
  }
}

function findSubmitted(commands: readonly ActionCommand[]) {
  for (const command of commands) {
    if (command.kind === ActionCommandKind.SubmitRecord) return command;
  }
  throw new Error('no record was submitted');
}

function findAnswer(commands: readonly ActionCommand[]) {
  for (const command of commands) {
    if (command.kind === ActionCommandKind.Answer) return command;
  }
  throw new Error('no answer was given');
}

function listKinds(commands: readonly ActionCommand[]) {
  return commands.map(command => command.kind);
}

function makeClaim(change: Partial<ActionRequest> = {}): RecordBody {
  return {
    kind: RecordKind.Claim,
    account: toId('lens'),
    key: change.key ?? makeKey(start),
    service: toId('orders'),
    digest: change.digest ?? 'd1',
    attempt: 1,
  };
}

test('the call is sent only after the claim was read back', () => {
  const harness = new ActionsHarness();
  const asked = harness.send(1);
  assert.deepEqual(listKinds(asked), [ActionCommandKind.SubmitRecord]);
  const {token, body} = findSubmitted(asked);
  const outcome = SubmitOutcome.Committed;
  assert.deepEqual(
    harness.apply({kind: ActionInputKind.SubmitResolved, token, outcome}),
    [],
  );
  assert.deepEqual(listKinds(harness.fold(ownWriter, body)), [
    ActionCommandKind.CallService,
  ]);
  const done = harness.apply({
    kind: ActionInputKind.CallAnswered,
    attempt: 1,
    result: 'ok',
  });
  assert.equal(findSubmitted(done).body.kind, RecordKind.Outcome);
  assert.equal(findAnswer(done).answer, FinalAnswer.Completed);
  assert.equal(findAnswer(harness.send(2)).result, 'ok');
});

test('a request whose claim lost gets the result of the winner', () => {
  const harness = new ActionsHarness();
  const {body} = findSubmitted(harness.send(1));
  harness.fold(other, makeClaim());
  assert.deepEqual(harness.fold(ownWriter, body), []);
  const done = harness.fold(other, {
    kind: RecordKind.Outcome,
    account: toId('lens'),
    key: makeKey(start),
    claim: 0,
    result: 'ok',
  });
  assert.equal(findAnswer(done).result, 'ok');
});

test('a joined request is answered outcomeUnknown at its deadline', () => {
  const harness = new ActionsHarness();
  harness.fold(other, makeClaim());
  assert.deepEqual(harness.send(1), []);
  const late = findAnswer(harness.runTickAt(start + 2000));
  assert.equal(late.answer, FinalAnswer.OutcomeUnknown);
});

test('a claim that appears in the log after notRun is abandoned', () => {
  const harness = new ActionsHarness();
  const {token, body} = findSubmitted(harness.send(1));
  const outcome = SubmitOutcome.Unknown;
  const refused = findAnswer(
    harness.apply({kind: ActionInputKind.SubmitResolved, token, outcome}),
  );
  assert.equal(refused.answer, FinalAnswer.NotRun);
  assert.equal(refused.retryAt, start + 750);
  const folded = harness.fold(ownWriter, body);
  assert.deepEqual(listKinds(folded), [ActionCommandKind.SubmitRecord]);
  const abandonment = findSubmitted(folded).body;
  assert.equal(abandonment.kind, RecordKind.Abandonment);
  // A retry waits for the abandonment, then submits a new claim on the key.
  assert.deepEqual(harness.send(2), []);
  const claim = findSubmitted(harness.fold(ownWriter, abandonment)).body;
  assert.deepEqual(listKinds(harness.fold(ownWriter, claim)), [
    ActionCommandKind.CallService,
  ]);
});

test('an abandonment by another writer is ignored', () => {
  const harness = new ActionsHarness();
  harness.fold(other, makeClaim());
  harness.fold(toId('third'), {
    kind: RecordKind.Abandonment,
    account: toId('lens'),
    key: makeKey(start),
    claim: 0,
  });
  assert.deepEqual(harness.send(1), []);
});

test('a claim read back after the deadline is abandoned without a call', () => {
  const harness = new ActionsHarness();
  const {body} = findSubmitted(harness.send(1));
  harness.now = start + 2000;
  const folded = harness.fold(ownWriter, body);
  assert.equal(findSubmitted(folded).body.kind, RecordKind.Abandonment);
  assert.equal(findAnswer(folded).answer, FinalAnswer.NotRun);
});

test('expired, future and non-UUIDv7 keys are rejected', () => {
  const harness = new ActionsHarness();
  for (const key of [
    makeKey(start - retentionMilliseconds / 2),
    makeKey(start + 1001),
    toId<ActionKey>('00000000-0000-4000-8000-000000000001'),
  ]) {
    const answer = findAnswer(harness.send(1, {key}));
    assert.equal(answer.answer, FinalAnswer.Rejected);
    assert.equal(answer.field, 'idempotencyKey');
    assert.equal(answer.value, key);
  }
});

test('a different body under the same key is rejected', () => {
  const harness = new ActionsHarness();
  const {body} = findSubmitted(harness.send(1));
  const early = findAnswer(harness.send(2, {digest: 'd2'}));
  assert.equal(early.answer, FinalAnswer.Rejected);
  harness.fold(ownWriter, body);
  const late = findAnswer(harness.send(3, {digest: 'd2'}));
  assert.equal(late.answer, FinalAnswer.Rejected);
});

test('a lost answer without look-up is outcomeUnknown', () => {
  const harness = new ActionsHarness();
  const {body} = findSubmitted(harness.send(1));
  harness.fold(ownWriter, body);
  const failed = harness.apply({
    kind: ActionInputKind.CallFailed,
    attempt: 1,
    failure: CallFailure.Unknown,
  });
  assert.equal(findAnswer(failed).answer, FinalAnswer.OutcomeUnknown);
  const outcome = findSubmitted(failed).body;
  assert.ok(outcome.kind === RecordKind.Outcome && !outcome.result);
});

test('a look-up finds the result of a lost answer', () => {
  const harness = new ActionsHarness();
  const {body} = findSubmitted(harness.send(1, {hasLookup: true}));
  harness.fold(ownWriter, body);
  harness.runTickAt(start + 1000);
  const kind = ActionInputKind.LookupAnswered;
  assert.deepEqual(harness.apply({kind, request: 1}), []);
  assert.deepEqual(listKinds(harness.runTickAt(start + 1300)), [
    ActionCommandKind.LookUp,
  ]);
  const found = harness.apply({kind, request: 1, result: 'ok'});
  assert.equal(findAnswer(found).result, 'ok');
});

test('the claim of a call that was certainly not sent is abandoned', () => {
  const harness = new ActionsHarness();
  const {body} = findSubmitted(harness.send(1));
  harness.fold(ownWriter, body);
  const failed = harness.apply({
    kind: ActionInputKind.CallFailed,
    attempt: 1,
    failure: CallFailure.CertainlyNotSent,
  });
  assert.equal(findSubmitted(failed).body.kind, RecordKind.Abandonment);
  assert.equal(findAnswer(failed).answer, FinalAnswer.NotRun);
});

test('a disconnected caller cancels only a call that is not sent yet', () => {
  const harness = new ActionsHarness();
  const first = findSubmitted(harness.send(1)).body;
  harness.fold(ownWriter, first);
  const sent = harness.apply({kind: ActionInputKind.CallerGone, request: 1});
  assert.deepEqual(listKinds(sent), [ActionCommandKind.Answer]);
  const key = makeKey(start, 2);
  const second = findSubmitted(harness.send(2, {key})).body;
  harness.apply({kind: ActionInputKind.CallerGone, request: 2});
  const folded = harness.fold(ownWriter, second);
  assert.equal(findSubmitted(folded).body.kind, RecordKind.Abandonment);
});

test('calls over the concurrency limit of a service are queued', () => {
  const harness = new ActionsHarness(1);
  const keys = [1, 2].map(tail => makeKey(start, tail));
  const bodies = keys.map(
    (key, index) => findSubmitted(harness.send(index, {key})).body,
  );
  assert.equal(harness.fold(ownWriter, bodies[0]!).length, 1);
  assert.deepEqual(harness.fold(ownWriter, bodies[1]!), []);
  const kind = ActionInputKind.CallAnswered;
  const done = harness.apply({kind, attempt: 1, result: 'ok'});
  assert.ok(listKinds(done).includes(ActionCommandKind.CallService));
});

test('a VM that is not ready refuses requests', () => {
  const harness = new ActionsHarness();
  harness.apply({kind: ActionInputKind.ReadyChanged, ready: false});
  assert.equal(findAnswer(harness.send(1)).answer, FinalAnswer.NotRun);
  const repeated = findAnswer(harness.send(2, {repeats: true}));
  assert.equal(repeated.answer, FinalAnswer.OutcomeUnknown);
});

test('a claim window from a peer replaces reading the log', () => {
  const peer = new ActionsHarness();
  peer.fold(other, makeClaim());
  const harness = new ActionsHarness();
  const window = listClaims(peer.state);
  harness.apply({kind: ActionInputKind.WindowLoaded, window});
  assert.deepEqual(harness.send(1), []);
});

test('claims on keys that can no longer be claimed are removed', () => {
  const harness = new ActionsHarness();
  harness.fold(other, makeClaim());
  const forgetAt = start + retentionMilliseconds / 2 + 1000;
  harness.runTickAt(forgetAt - 1);
  assert.equal(harness.state.claims.size, 1);
  harness.runTickAt(forgetAt);
  assert.equal(harness.state.claims.size, 0);
});

test('a request token that still waits cannot be reused', () => {
  const harness = new ActionsHarness();
  harness.send(1);
  assert.throws(() => harness.send(1), /token 1 is already waiting/);
});
