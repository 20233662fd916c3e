import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ListedVm} from '@zinniaspindle/shared';
import {
  type EndpointId,
  ListedPurpose,
  ListedState,
  toId,
} from '@zinniaspindle/shared';
import type {
  MembershipInput,
  MembershipState,
  PeerMessage,
} from '../src/index.js';
import {
  decideMembership,
  defaultMembershipOptions,
  LeavingSource,
  listLeavingEndpoints,
  makeMembershipState,
  maxGossipItemsPerMessage,
  MembershipErrorCode,
  MembershipEventKind,
  PeerMessageKind,
  PeerState,
} from '../src/index.js';

const start = 1_000_000;
const endpoint = toId<EndpointId>('e1');

function makeState(): MembershipState {
  const identity = {
    vm: toId<MembershipState['self']['vm']>('v0'),
    startedAt: start,
    peerAddress: 'v0:70',
    address: 'v0:80',
    dataCentre: toId<MembershipState['self']['dataCentre']>('dc0'),
  };
  return makeMembershipState(identity, defaultMembershipOptions, start);
}

function decide(state: MembershipState, event: MembershipInput, now: number) {
  return decideMembership(state, event, now, () => 0.5);
}

function setLeaving(
  state: MembershipState,
  leaving: boolean,
  source: LeavingSource,
  time: number,
): void {
  const kind = leaving
    ? MembershipEventKind.EndpointLeavingSeen
    : MembershipEventKind.EndpointStayingSeen;
  const event: MembershipInput = {kind, endpoint, source, time};
  assert.ok(decide(state, event, time).isOk);
}

function readList(
  state: MembershipState,
  listed: ListedState,
  now: number,
): void {
  const vm: ListedVm = {
    id: toId(endpoint),
    purpose: ListedPurpose.Endpoint,
    state: listed,
    dataCentre: toId('dc0'),
    address: 'e1:90',
  };
  decide(state, {kind: MembershipEventKind.ListRead, vms: [vm]}, now);
}

test('a later engine report clears the notice of the engine', () => {
  const state = makeState();
  setLeaving(state, true, LeavingSource.Engine, start + 10);
  setLeaving(state, false, LeavingSource.Engine, start + 5);
  assert.deepEqual(listLeavingEndpoints(state), [endpoint]);
  setLeaving(state, false, LeavingSource.Engine, start + 20);
  assert.deepEqual(listLeavingEndpoints(state), []);
});

test('an engine report does not clear a notice from the VM list', () => {
  const state = makeState();
  readList(state, ListedState.Leaving, start + 10);
  setLeaving(state, false, LeavingSource.Engine, start + 20);
  assert.deepEqual(listLeavingEndpoints(state), [endpoint]);
  readList(state, ListedState.Live, start + 30);
  assert.deepEqual(listLeavingEndpoints(state), []);
});

test('a lagging list does not clear what another VM read from it', () => {
  const state = makeState();
  setLeaving(state, true, LeavingSource.List, start + 10);
  readList(state, ListedState.Live, start + 20);
  assert.deepEqual(listLeavingEndpoints(state), [endpoint]);
});

test('a notice that is not refreshed expires', () => {
  const state = makeState();
  setLeaving(state, true, LeavingSource.Engine, start);
  const {noticeTtlMilliseconds} = defaultMembershipOptions;
  decide(
    state,
    {kind: MembershipEventKind.Tick},
    start + noticeTtlMilliseconds,
  );
  assert.deepEqual(listLeavingEndpoints(state), []);
});

test('a refreshed notice does not expire', () => {
  const state = makeState();
  const {noticeTtlMilliseconds} = defaultMembershipOptions;
  setLeaving(state, true, LeavingSource.Engine, start);
  const later = start + noticeTtlMilliseconds * 0.7;
  setLeaving(state, true, LeavingSource.Engine, later);
  decide(
    state,
    {kind: MembershipEventKind.Tick},
    start + noticeTtlMilliseconds,
  );
  assert.deepEqual(listLeavingEndpoints(state), [endpoint]);
});

test('malformed messages are rejected with the field and value', () => {
  const state = makeState();
  const sender = state.self;
  const updates = Array.from(
    {length: maxGossipItemsPerMessage + 2},
    () => sender,
  );
  const kind = PeerMessageKind.Gossip;
  const cases: ReadonlyArray<readonly [unknown, RegExp]> = [
    [{kind: 'hello'}, /unknown kind "hello"/],
    [{kind, sender: {vm: 1}}, /field "sender" is \{"vm":1\}/],
    [{kind, sender, updates, notices: []}, /"updates" has 26 entries/],
    [{kind, sender, updates: [{vm: 'x'}], notices: []}, /is incomplete/],
    [{kind, sender, updates: []}, /field "notices" is not a list/],
  ];
  for (const [message, expected] of cases) {
    const event: MembershipInput = {
      kind: MembershipEventKind.MessageReceived,
      from: 'v9:70',
      message: message as PeerMessage,
    };
    const result = decide(state, event, start);
    assert.ok(result.isErr);
    assert.equal(result.error.code, MembershipErrorCode.MalformedMessage);
    assert.match(result.error.message, expected);
  }
});

test('a later run of this VM supersedes this run', () => {
  const state = makeState();
  const later = {...state.self, startedAt: start + 5};
  const sender = {...later, vm: toId<typeof later.vm>('v1')};
  const message: PeerMessage = {
    kind: PeerMessageKind.Gossip,
    sender: {...sender, state: PeerState.Alive},
    updates: [later],
    notices: [],
  };
  const kind = MembershipEventKind.MessageReceived;
  decide(state, {kind, from: 'v1:70', message}, start + 10);
  assert.equal(state.superseded, true);
});
