import assert from 'node:assert/strict';
import {test} from 'node:test';
import {toId, type VmId} from '@zinniaspindle/shared';
import {
  createStateRequests,
  decideStateRequests,
  StateRequestEventKind,
  type StateRequestEvent,
  type StateRequestState,
} from '../src/index.js';

const peers = ['vm1', 'vm2', 'vm3'].map(toId<VmId>);

function makeRequests(): StateRequestState {
  const options = {graceMilliseconds: 50, retryMilliseconds: 100};
  const state = createStateRequests(options);
  run(state, {kind: StateRequestEventKind.PeersChanged, peers}, 0);
  return state;
}

function run(
  state: StateRequestState,
  event: StateRequestEvent,
  now: number,
): VmId[] {
  const step = decideStateRequests(state, event, now, () => 0.5);
  if (step.isErr) throw step.error;
  return step.value.commands.map(command => command.peer);
}

test('after a gap one peer is asked when the grace period ends, then again', () => {
  const state = makeRequests();
  const tick = {kind: StateRequestEventKind.Tick, hasGap: true} as const;
  assert.deepEqual(run(state, tick, 1000), []);
  assert.deepEqual(run(state, tick, 1049), []);
  assert.deepEqual(run(state, tick, 1050), ['vm2']);
  assert.deepEqual(run(state, tick, 1149), []);
  assert.deepEqual(run(state, tick, 1150), ['vm2']);
  assert.deepEqual(run(state, {...tick, hasGap: false}, 1300), []);
});

test('a request of the journal is sent at once, at the same limited rate', () => {
  const state = makeRequests();
  const requested = {kind: StateRequestEventKind.Requested} as const;
  assert.deepEqual(run(state, requested, 10), ['vm2']);
  assert.deepEqual(run(state, requested, 20), []);
  assert.deepEqual(run(state, requested, 110), ['vm2']);
});
