import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {DataCentreId, VmId} from '@zinniaspindle/shared';
import {toId} from '@zinniaspindle/shared';
import type {DirectoryInput, DirectoryState, VmDigest} from '../src/index.js';
import {
  decideDirectory,
  defaultDirectoryOptions,
  DirectoryEventKind,
  makeDirectoryState,
  PeerState,
} from '../src/index.js';

const now = 1_000_000;

function makeRandom(): () => number {
  let seed = 1;
  return () => {
    seed = (seed * 48271) % 2147483647;
    return seed / 2147483647;
  };
}

const random = makeRandom();

function makeDigest(vm: string, changes: Partial<VmDigest> = {}): VmDigest {
  return {
    vm: toId<VmId>(vm),
    time: now,
    ready: true,
    leaving: false,
    load: 0.5,
    nextOffset: 0,
    demands: [],
    uses: [],
    leavingEndpoints: [],
    failingEndpoints: [],
    ...changes,
  };
}

function makeState(): DirectoryState {
  const entry = {vm: toId<VmId>('v0'), address: 'v0:80'};
  const dataCentre = toId<DataCentreId>('dc0');
  return makeDirectoryState({...entry, dataCentre}, defaultDirectoryOptions);
}

function send(state: DirectoryState, event: DirectoryInput, at = now) {
  const result = decideDirectory(state, event, at, random);
  assert.ok(result.isOk);
  return result.value;
}

function addPeer(
  state: DirectoryState,
  vm: string,
  dataCentre: string,
  changes: Partial<VmDigest> = {},
): void {
  const peer = {
    vm: toId<VmId>(vm),
    startedAt: 1,
    incarnation: 1,
    state: PeerState.Alive,
    peerAddress: `${vm}:70`,
    address: `${vm}:80`,
    dataCentre: toId<DataCentreId>(dataCentre),
  };
  const kind = DirectoryEventKind.PeerChanged;
  send(state, {kind, peer, state: PeerState.Alive});
  const digest = makeDigest(vm, changes);
  send(state, {kind: DirectoryEventKind.DigestReceived, digest});
}

function listVms(state: DirectoryState, at = now, near = 'dc0'): string[] {
  const kind = DirectoryEventKind.EntriesRequested;
  const dataCentre = toId<DataCentreId>(near);
  const {commands} = send(state, {kind, requestId: 'a', dataCentre}, at);
  return commands[0]!.response.entries.map(entry => entry.vm);
}

test('a ready VM without peers lists itself', () => {
  const state = makeState();
  assert.deepEqual(listVms(state), []);
  const kind = DirectoryEventKind.OwnDigest;
  send(state, {kind, digest: makeDigest('v0')});
  assert.deepEqual(listVms(state), ['v0']);
});

test('leaving, unready and stale VMs are not listed', () => {
  const state = makeState();
  addPeer(state, 'v1', 'dc0');
  addPeer(state, 'v2', 'dc0', {ready: false});
  addPeer(state, 'v3', 'dc0', {leaving: true});
  addPeer(state, 'v4', 'dc0', {time: now - 60_000});
  assert.deepEqual(listVms(state), ['v1']);
  const {staleMilliseconds} = defaultDirectoryOptions;
  assert.deepEqual(listVms(state, now + staleMilliseconds), []);
});

test('near entries come first, remote ones are reserved, the count is limited', () => {
  const state = makeState();
  for (let i = 0; i < 20; i += 1) {
    addPeer(state, `v${i + 1}`, i < 10 ? 'dc0' : 'dc1');
  }
  const vms = listVms(state);
  const near = vms.map(vm => Number(vm.slice(1)) <= 10);
  assert.deepEqual(near, [true, true, true, true, true, false, false, false]);
});

test('the first entry is random, weighted by free capacity', () => {
  const state = makeState();
  addPeer(state, 'v1', 'dc0', {load: 0.2});
  addPeer(state, 'v2', 'dc0', {load: 0.6});
  let first = 0;
  for (let i = 0; i < 2000; i += 1) {
    if (listVms(state)[0] === 'v1') first += 1;
  }
  assert.ok(first > 1500 && first < 1700, `v1 came first ${first} times`);
});
