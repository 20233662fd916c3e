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
const me: WriterId = toId('me');
const other: WriterId = toId('other');

function makeKey(madeAt: number, tail = 1): ActionKey {
  const time = madeAt.toString(16).padStart(12, '0');
  const end = tail.toString(16).padStart(12, '0');
  return toId(`${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${end}`);
}

/** One VM's machine, with the offsets of its log counted here. */
class Machine {
  readonly state;
  now = start;
  offset = 0;

  constructor(maxCallsPerService = 8) {
    this.state = createActionsState({
      writer: me,
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

  expireAt(now: number) {
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

test('the call waits for the read back', () => {
  const machine = new Machine();
  const asked = machine.send(1);
  assert.deepEqual(listKinds(asked), [ActionCommandKind.SubmitRecord]);
  const {token, body} = findSubmitted(asked);
  const fate = SubmitOutcome.Committed;
  assert.deepEqual(
    machine.apply({kind: ActionInputKind.SubmitResolved, token, outcome: fate}),
    [],
  );
  assert.deepEqual(listKinds(machine.fold(me, body)), [
    ActionCommandKind.CallService,
  ]);
  const done = machine.apply({
    kind: ActionInputKind.CallAnswered,
    attempt: 1,
    result: 'ok',
  });
  assert.equal(findSubmitted(done).body.kind, RecordKind.Outcome);
  assert.equal(findAnswer(done).answer, FinalAnswer.Completed);
  assert.equal(findAnswer(machine.send(2)).result, 'ok');
});

test('a lost claim joins the winner', () => {
  const machine = new Machine();
  const {body} = findSubmitted(machine.send(1));
  machine.fold(other, makeClaim());
  assert.deepEqual(machine.fold(me, body), []);
  const done = machine.fold(other, {
    kind: RecordKind.Outcome,
    account: toId('lens'),
    key: makeKey(start),
    claim: 0,
    result: 'ok',
  });
  assert.equal(findAnswer(done).result, 'ok');
});

test('a joined request hears outcomeUnknown at its deadline', () => {
  const machine = new Machine();
  machine.fold(other, makeClaim());
  assert.deepEqual(machine.send(1), []);
  const late = findAnswer(machine.expireAt(start + 2000));
  assert.equal(late.answer, FinalAnswer.OutcomeUnknown);
});

test('a claim that appears after notRun is abandoned', () => {
  const machine = new Machine();
  const {token, body} = findSubmitted(machine.send(1));
  const fate = SubmitOutcome.Unknown;
  const refused = findAnswer(
    machine.apply({kind: ActionInputKind.SubmitResolved, token, outcome: fate}),
  );
  assert.equal(refused.answer, FinalAnswer.NotRun);
  assert.equal(refused.retryAt, start + 750);
  const folded = machine.fold(me, body);
  assert.deepEqual(listKinds(folded), [ActionCommandKind.SubmitRecord]);
  const abandonment = findSubmitted(folded).body;
  assert.equal(abandonment.kind, RecordKind.Abandonment);
  // A retry waits for the abandonment, then claims afresh with the same key.
  assert.deepEqual(machine.send(2), []);
  const claim = findSubmitted(machine.fold(me, abandonment)).body;
  assert.deepEqual(listKinds(machine.fold(me, claim)), [
    ActionCommandKind.CallService,
  ]);
});

test('only the claimant abandons', () => {
  const machine = new Machine();
  machine.fold(other, makeClaim());
  machine.fold(toId('third'), {
    kind: RecordKind.Abandonment,
    account: toId('lens'),
    key: makeKey(start),
    claim: 0,
  });
  assert.deepEqual(machine.send(1), []);
});

test('a claim read back past the deadline is not called', () => {
  const machine = new Machine();
  const {body} = findSubmitted(machine.send(1));
  machine.now = start + 2000;
  const folded = machine.fold(me, body);
  assert.equal(findSubmitted(folded).body.kind, RecordKind.Abandonment);
  assert.equal(findAnswer(folded).answer, FinalAnswer.NotRun);
});

test('keys out of their time are rejected', () => {
  const machine = new Machine();
  for (const key of [
    makeKey(start - retentionMilliseconds / 2),
    makeKey(start + 1001),
    toId<ActionKey>('00000000-0000-4000-8000-000000000001'),
  ]) {
    const answer = findAnswer(machine.send(1, {key}));
    assert.equal(answer.answer, FinalAnswer.Rejected);
    assert.equal(answer.field, 'idempotencyKey');
    assert.equal(answer.value, key);
  }
});

test('another body under the same key is rejected', () => {
  const machine = new Machine();
  const {body} = findSubmitted(machine.send(1));
  const early = findAnswer(machine.send(2, {digest: 'd2'}));
  assert.equal(early.answer, FinalAnswer.Rejected);
  machine.fold(me, body);
  const late = findAnswer(machine.send(3, {digest: 'd2'}));
  assert.equal(late.answer, FinalAnswer.Rejected);
});

test('a lost answer is unknown without a look-up', () => {
  const machine = new Machine();
  const {body} = findSubmitted(machine.send(1));
  machine.fold(me, body);
  const failed = machine.apply({
    kind: ActionInputKind.CallFailed,
    attempt: 1,
    failure: CallFailure.Unknown,
  });
  assert.equal(findAnswer(failed).answer, FinalAnswer.OutcomeUnknown);
  const outcome = findSubmitted(failed).body;
  assert.ok(outcome.kind === RecordKind.Outcome && !outcome.result);
});

test('a look-up tells the result of a lost answer', () => {
  const machine = new Machine();
  const {body} = findSubmitted(machine.send(1, {hasLookup: true}));
  machine.fold(me, body);
  machine.expireAt(start + 1000);
  const kind = ActionInputKind.LookupAnswered;
  assert.deepEqual(machine.apply({kind, request: 1}), []);
  assert.deepEqual(listKinds(machine.expireAt(start + 1300)), [
    ActionCommandKind.LookUp,
  ]);
  const found = machine.apply({kind, request: 1, result: 'ok'});
  assert.equal(findAnswer(found).result, 'ok');
});

test('a call that was certainly not sent is abandoned', () => {
  const machine = new Machine();
  const {body} = findSubmitted(machine.send(1));
  machine.fold(me, body);
  const failed = machine.apply({
    kind: ActionInputKind.CallFailed,
    attempt: 1,
    failure: CallFailure.CertainlyNotSent,
  });
  assert.equal(findSubmitted(failed).body.kind, RecordKind.Abandonment);
  assert.equal(findAnswer(failed).answer, FinalAnswer.NotRun);
});

test('a caller that leaves cancels an unsent call only', () => {
  const machine = new Machine();
  const first = findSubmitted(machine.send(1)).body;
  machine.fold(me, first);
  const sent = machine.apply({kind: ActionInputKind.CallerGone, request: 1});
  assert.deepEqual(listKinds(sent), [ActionCommandKind.Answer]);
  const key = makeKey(start, 2);
  const second = findSubmitted(machine.send(2, {key})).body;
  machine.apply({kind: ActionInputKind.CallerGone, request: 2});
  const folded = machine.fold(me, second);
  assert.equal(findSubmitted(folded).body.kind, RecordKind.Abandonment);
});

test('calls at one service are limited and queued', () => {
  const machine = new Machine(1);
  const keys = [1, 2].map(tail => makeKey(start, tail));
  const bodies = keys.map(
    (key, index) => findSubmitted(machine.send(index, {key})).body,
  );
  assert.equal(machine.fold(me, bodies[0]!).length, 1);
  assert.deepEqual(machine.fold(me, bodies[1]!), []);
  const kind = ActionInputKind.CallAnswered;
  const done = machine.apply({kind, attempt: 1, result: 'ok'});
  assert.ok(listKinds(done).includes(ActionCommandKind.CallService));
});

test('a VM that is not ready takes nothing', () => {
  const machine = new Machine();
  machine.apply({kind: ActionInputKind.ReadyChanged, ready: false});
  assert.equal(findAnswer(machine.send(1)).answer, FinalAnswer.NotRun);
  const repeated = findAnswer(machine.send(2, {repeats: true}));
  assert.equal(repeated.answer, FinalAnswer.OutcomeUnknown);
});

test('a window from a peer stands for the log', () => {
  const peer = new Machine();
  peer.fold(other, makeClaim());
  const machine = new Machine();
  const window = listClaims(peer.state);
  machine.apply({kind: ActionInputKind.WindowLoaded, window});
  assert.deepEqual(machine.send(1), []);
});

test('the window forgets keys that can no longer be claimed', () => {
  const machine = new Machine();
  machine.fold(other, makeClaim());
  const forgetAt = start + retentionMilliseconds / 2 + 1000;
  machine.expireAt(forgetAt - 1);
  assert.equal(machine.state.claims.size, 1);
  machine.expireAt(forgetAt);
  assert.equal(machine.state.claims.size, 0);
});

test('a request token is used once at a time', () => {
  const machine = new Machine();
  machine.send(1);
  assert.throws(() => machine.send(1), /token 1 is already waiting/);
});
