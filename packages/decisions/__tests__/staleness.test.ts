import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createStaleness,
  decideStaleness,
  StalenessEventKind,
  UnreadyReason,
  type LogView,
  type StalenessState,
} from '../src/index.js';

const options = {
  silenceMilliseconds: 100,
  behindMilliseconds: 60,
  backlogMilliseconds: 5,
  pauseMilliseconds: 60,
  withdraws: true,
  requiresFreshLogEnd: true,
};

function run(
  state: StalenessState,
  kind: StalenessEventKind,
  view: Partial<LogView>,
  now: number,
): UnreadyReason | undefined {
  const defaults = {
    position: 5,
    logEndOffset: 5,
    lastContactAt: now,
    hasGap: false,
  };
  const fullView = {...defaults, ...view};
  const step = decideStaleness(state, {kind, view: fullView}, now, Math.random);
  if (step.isErr) throw step.error;
  return state.reason;
}

test('a VM is ready once it has reached the end of the log', () => {
  const {MessageReceived, Tick} = StalenessEventKind;
  const state = createStaleness(options, 0);
  const unknownEnd = {position: 0, logEndOffset: -1};
  assert.equal(run(state, Tick, unknownEnd, 1), UnreadyReason.Starting);
  assert.equal(
    run(state, MessageReceived, {position: 3}, 2),
    UnreadyReason.Starting,
  );
  assert.equal(run(state, Tick, {hasGap: true}, 3), UnreadyReason.Gap);
  assert.equal(run(state, Tick, {}, 4), undefined);
});

test('a VM is unready after a silence, until it has caught up', () => {
  const {MessageReceived, Tick} = StalenessEventKind;
  const state = createStaleness(options, 0);
  assert.equal(run(state, MessageReceived, {}, 0), undefined);
  assert.equal(run(state, Tick, {}, 99), undefined);
  assert.equal(run(state, Tick, {}, 100), UnreadyReason.Silent);
  const behind = {logEndOffset: 9};
  assert.equal(run(state, MessageReceived, behind, 110), UnreadyReason.Behind);
  const caughtUp = {position: 9, logEndOffset: 9};
  assert.equal(run(state, MessageReceived, caughtUp, 120), undefined);
});

test('a VM that lacks known records is unready although peers send messages', () => {
  const {MessageReceived} = StalenessEventKind;
  const state = createStaleness(options, 0);
  run(state, MessageReceived, {}, 0);
  const behind = {logEndOffset: 9};
  assert.equal(run(state, MessageReceived, behind, 10), undefined);
  assert.equal(run(state, MessageReceived, behind, 69), undefined);
  assert.equal(run(state, MessageReceived, behind, 70), UnreadyReason.Behind);
});

test('messages that were buffered during a silence do not end it', () => {
  const {MessageReceived, Tick} = StalenessEventKind;
  const state = createStaleness(options, 0);
  run(state, MessageReceived, {}, 0);
  assert.equal(run(state, MessageReceived, {}, 150), UnreadyReason.Silent);
  assert.equal(run(state, MessageReceived, {}, 154), UnreadyReason.Silent);
  assert.equal(
    run(state, Tick, {lastContactAt: 154}, 160),
    UnreadyReason.Silent,
  );
  assert.equal(
    run(state, MessageReceived, {lastContactAt: 160}, 161),
    undefined,
  );
});

test('messages that were buffered during a pause are ignored', () => {
  const {MessageReceived, Tick} = StalenessEventKind;
  const state = createStaleness(options, 0);
  run(state, MessageReceived, {}, 0);
  assert.equal(run(state, MessageReceived, {}, 70), undefined);
  assert.equal(run(state, MessageReceived, {}, 71), undefined);
  assert.equal(run(state, Tick, {}, 100), UnreadyReason.Silent);
});

test('a VM that keeps up with a growing log stays ready', () => {
  const {MessageReceived} = StalenessEventKind;
  const state = createStaleness(options, 0);
  run(state, MessageReceived, {}, 0);
  for (let now = 10; now < 500; now += 10) {
    const view = {position: now, logEndOffset: now + 15};
    assert.equal(run(state, MessageReceived, view, now), undefined);
  }
});

test('without the guard a silent VM stays ready', () => {
  const {MessageReceived, Tick} = StalenessEventKind;
  const state = createStaleness({...options, withdraws: false}, 0);
  run(state, MessageReceived, {}, 0);
  assert.equal(run(state, Tick, {}, 1000), undefined);
});
