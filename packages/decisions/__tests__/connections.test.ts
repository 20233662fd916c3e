import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  chooseClosed,
  RoomFor,
  chooseUnread,
  decideReading,
  deriveClientMemory,
  deriveListenerLimits,
  Listener,
  maxOpenRequests,
  ReadingStep,
  type ReadingState,
} from '../src/index.js';

const megabyte = 1024 * 1024;

/** VMs of the deployments: descriptors and memory. */
const vms = [
  [2118, 272],
  [2069, 202],
  [10_022, 602],
  [400, 160],
] as const;

test('listeners leave descriptors for peers and the store', () => {
  for (const [maxDescriptors, memory] of vms) {
    let connections = 0;
    for (const listener of Object.values(Listener)) {
      const limits = deriveListenerLimits(listener, maxDescriptors, memory);
      connections += limits.connections + limits.spareConnections;
    }
    const sockets = maxDescriptors - 200;
    assert.ok(connections < sockets * 0.9, `${connections} of ${sockets}`);
  }
});

test('a VM without descriptors still takes a few connections', () => {
  const {connections, requestsAhead} = deriveListenerLimits(
    ...([Listener.Callers, 0, 272] as const),
  );
  assert.ok(connections > 0 && requestsAhead > 0);
});

test('what clients send leaves memory for what endpoints and the store send', () => {
  for (const [, memory] of vms) {
    const {requestBytes, aheadBytes, unreadBytes} = deriveClientMemory(memory);
    const bytes = requestBytes + aheadBytes + unreadBytes;
    assert.ok(bytes < (memory * megabyte) / 3, `${bytes} bytes`);
  }
});

test('open requests take less than half of the heap', () => {
  const {requestBytes} = deriveClientMemory(602, 96);
  assert.ok(requestBytes < 48 * megabyte);
});

const state: ReadingState = {
  openRequests: 1,
  requestsAhead: 0,
  maxRequestsAhead: 10,
  hasMemory: () => true,
  takeTurn: () => true,
};

test('a request ahead is read while there is room for it', () => {
  assert.equal(decideReading(state), ReadingStep.Take);
  const openRequests = maxOpenRequests;
  assert.equal(decideReading({...state, openRequests}), ReadingStep.Wait);
  const full = {...state, requestsAhead: 10};
  assert.equal(decideReading(full), ReadingStep.Wait);
  const poor = {...state, hasMemory: () => false};
  assert.equal(decideReading(poor), ReadingStep.Wait);
  const late = {...state, takeTurn: () => false};
  assert.equal(decideReading(late), ReadingStep.NextTurn);
});

test('the first request of a connection is always read', () => {
  const worst = {
    ...{openRequests: 0, requestsAhead: 10, maxRequestsAhead: 10},
    hasMemory: () => false,
    takeTurn: () => false,
  };
  assert.equal(decideReading(worst), ReadingStep.Take);
});

const {Connection, Request} = RoomFor;
const now = 100_000;
const busy = {
  ...{name: 'busy', hasSentRequest: true, openRequests: 1, idleSince: 0},
  ...{receivingSince: undefined, unreadSince: undefined},
};
const silent = {
  ...busy,
  name: 'silent',
  hasSentRequest: false,
  openRequests: 0,
};
const idle = {...busy, name: 'idle', openRequests: 0};
const receiving = {...busy, name: 'receiving', receivingSince: 0};
const unread = {...busy, name: 'unread', unreadSince: 0};

test('connections are closed silent, then idle, receiving and unread ones', () => {
  const all = [busy, unread, receiving, idle, silent];
  assert.equal(chooseClosed(all, now, Connection)?.name, 'silent');
  assert.equal(
    chooseClosed([busy, unread, idle], now, Connection)?.name,
    'idle',
  );
  assert.equal(
    chooseClosed([unread, receiving], now, Connection)?.name,
    'receiving',
  );
  assert.equal(chooseClosed([busy, unread], now, Connection)?.name, 'unread');
  assert.equal(chooseClosed([busy], now, Connection), undefined);
});

test('a request does not close a connection that may have one at once', () => {
  const arriving = {...silent, name: 'arriving', idleSince: now - 40};
  assert.equal(chooseClosed([busy, arriving], now, Request), undefined);
  assert.equal(chooseClosed([unread, arriving], now, Request)?.name, 'unread');
  assert.equal(chooseClosed([arriving, silent], now, Request)?.name, 'silent');
  assert.equal(
    chooseClosed([busy, arriving], now, Connection)?.name,
    'arriving',
  );
});

test('the connection that is idle longest is closed', () => {
  const recent = {...idle, name: 'recent', idleSince: now - 1};
  assert.equal(chooseClosed([recent, idle], now, Connection)?.name, 'idle');
  assert.equal(chooseClosed([idle, recent], now, Connection)?.name, 'idle');
});

test('a caller that has just taken or begun to send bytes is not closed', () => {
  const reading = {...unread, unreadSince: now - 10};
  const sending = {...receiving, receivingSince: now - 10};
  assert.equal(chooseClosed([reading, sending], now, Connection), undefined);
});

test('unread answers within their bound are kept', () => {
  const one = {unwrittenBytes: 50, unreadSince: 0};
  assert.deepEqual(chooseUnread([one, one], 100), []);
});

test('the callers that have taken nothing for longest are closed', () => {
  const make = (unreadSince: number) => ({unwrittenBytes: 50, unreadSince});
  const chosen = chooseUnread([make(3), make(1), make(2)], 60);
  assert.deepEqual(
    chosen.map(one => one.unreadSince),
    [1, 2],
  );
});
