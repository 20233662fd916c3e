import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {after, before, test} from 'node:test';
import {encodeFrame, FrameReader} from '@zinniaspindle/framing';
import {GatewayEvent} from '@zinniaspindle/shared';
import {reservePort} from '@zinniaspindle/stand-ins';
import fc from 'fast-check';
import {LoadTracker} from '../src/fleet/load_tracker.js';
import {decodeMessage} from '../src/peers/message_codec.js';
import {PeerMessageKind, type PeerMessage} from '../src/peers/messages.js';
import {PeerMesh} from '../src/peers/peer_mesh.js';

const runs = {numRuns: 2000, seed: 44};
const loads = new LoadTracker();
const lines: [GatewayEvent, unknown][] = [];
const handled: PeerMessage[] = [];
let mesh: PeerMesh;
let socket: net.Socket;

const hello = {
  ...{kind: PeerMessageKind.Hello, vm: 'vm-1', startedAt: 1},
  ...{peerAddress: '127.0.0.1:1', callerAddress: '127.0.0.1:1'},
  ...{linkMegabits: 1, known: ['127.0.0.1:65536', '127.0.0.1:1', 7]},
};
const order = {
  ...{kind: PeerMessageKind.Order, id: 'e1', bornAt: 1, orderCount: 1},
  ...{range: {first: 0, end: 8}, cutsRequests: false},
};
const sentAt = 1_790_000_000_000;
const soundMessages: readonly object[] = [
  {...hello, known: []},
  order,
  [1, false, [0, 7, 20], [[1, 'e1', 2, 30]], true, sentAt, [1, 1]],
  {
    ...{kind: PeerMessageKind.Records, topic: 'endpoints', from: 1, next: 2},
    ...{sentAt, rows: [['e1', Buffer.from('x'), 1]]},
  },
  {
    ...{kind: PeerMessageKind.Snapshot, topic: 'endpoints', next: 2},
    ...{ageMilliseconds: 5, sentAt, rows: [['e1', null, 1]]},
  },
  {kind: PeerMessageKind.SnapshotRequest, topic: 'configuration'},
  {
    ...{kind: PeerMessageKind.Suspicion, id: 'e1', bornAt: 1, cause: 'x'},
    ended: {service: 's', sentAt, ageMilliseconds: 2, attempts: []},
  },
  {
    ...{kind: PeerMessageKind.Refutation, id: '', bornAt: 0},
    limited: {id: 'e1', bornAt: 1, perSecond: null, sentAt},
  },
  {
    ...{kind: PeerMessageKind.Refutation, id: '', bornAt: 0},
    announced: {...order, kind: undefined},
  },
  {
    kind: PeerMessageKind.Facts,
    facts: {id: 'e1', bornAt: 1, orderCount: 1, held: undefined},
  },
  {kind: PeerMessageKind.Relay, id: 'e1', purpose: 'report'},
];

before(async () => {
  const port = await reservePort();
  mesh = new PeerMesh(
    {
      ...{vm: 'vm-0', startedAt: 1, peerAddress: `127.0.0.1:${port}`},
      ...{callerAddress: '127.0.0.1:1', linkMegabits: 1},
    },
    loads,
    (_peer, message) => {
      handled.push(message);
      if (message.kind === PeerMessageKind.SnapshotRequest) {
        throw new RangeError('out of range');
      }
    },
    (event, fields) => lines.push([event, fields]),
    () => performance.now(),
  );
  await mesh.open({host: '127.0.0.1', port}, []);
  socket = net.connect(port, '127.0.0.1');
  await once(socket, 'connect');
});

after(() => {
  socket.destroy();
  mesh.close();
});

/** Sends messages after a greeting; waits until a last sound one is handled. */
async function sendAll(messages: readonly unknown[]): Promise<void> {
  handled.length = 0;
  lines.length = 0;
  const last = {...order, id: 'last'};
  const frames = [hello, ...messages, last].map(encodeFrame);
  socket.write(Buffer.concat(frames));
  const deadline = performance.now() + 3000;
  while (!handled.some(one => 'id' in one && one.id === 'last')) {
    assert.ok(performance.now() < deadline, 'the last message is not handled');
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

function countLines(event: GatewayEvent): number {
  return lines.filter(([one]) => one === event).length;
}

test('odd addresses of a greeting leave out no peer', async () => {
  await sendAll([]);
  assert.equal(countLines(GatewayEvent.PeerRefused), 0);
  assert.equal(countLines(GatewayEvent.MessageRefused), 2);
  assert.equal(countLines(GatewayEvent.PeerFound), 1);
});

test('messages of unknown kinds and forms leave the connection open', async () => {
  await sendAll([
    {kind: 'of a later build', value: 1},
    {kind: {toString: 5}},
    {...order, range: {first: 0, end: 1e15}},
    {...order, bornAt: NaN},
    {kind: PeerMessageKind.Facts, facts: null},
    {kind: PeerMessageKind.Records, topic: 'endpoints', rows: 7},
    [1, true, 'x', []],
    null,
  ]);
  assert.equal(countLines(GatewayEvent.PeerRefused), 0);
  assert.ok(countLines(GatewayEvent.MessageRefused) >= 6);
  assert.equal(handled.length, 1);
});

test('a message whose handler fails leaves the connection open', async () => {
  await sendAll([{kind: PeerMessageKind.SnapshotRequest, topic: 'endpoints'}]);
  assert.equal(countLines(GatewayEvent.PeerRefused), 0);
  assert.equal(countLines(GatewayEvent.MessageRefused), 1);
});

test('a malformed load of a heartbeat leaves the sums of others', () => {
  const odd = [[1], [1, 'e1', NaN, 5], [1, 'e1', 2, Infinity], 7, null];
  const rows = [[5, 'e1', 2, 30], ...odd];
  const row = [1, false, [], rows, true, sentAt];
  const heartbeat = decodeMessage(row).unwrapOr(undefined);
  assert.ok(heartbeat?.kind === PeerMessageKind.Heartbeat);
  assert.deepEqual(heartbeat.loads, [[5, 'e1', 2, 30]]);
});

test('a large integer in a frame is refused at once', () => {
  const digits = Buffer.alloc(4 * 1024 * 1024, 0xff);
  const head = Buffer.from([0, 0x40, 0, 6, 0xc2, 0x5a, 0, 0x40, 0, 0]);
  const startedAt = performance.now();
  const result = new FrameReader().accept(Buffer.concat([head, digits]));
  assert.ok(result.isErr);
  assert.ok(performance.now() - startedAt < 1000);
});

test('sound messages of all kinds are accepted', () => {
  for (const message of soundMessages) {
    const decoded = new FrameReader().accept(encodeFrame(message)).unwrapOr([]);
    const result = decodeMessage(decoded[0]);
    assert.ok(result.isOk, JSON.stringify(message));
  }
});

/** Values of all types that a frame can carry. */
const oddValues = fc.oneof(
  fc.constantFrom(NaN, Infinity, -1, 1e300, 2 ** 53, -0.5, null, undefined),
  fc.constantFrom('', 'constructor', 'x'.repeat(5000), true, [], {}, [[]]),
  fc.constantFrom(new Date(0), new Map([[1, 2]]), 2n ** 63n),
  fc.anything({maxDepth: 3}),
);

/** Lists the paths of all values within a message. */
function listPaths(value: unknown, path: readonly string[] = []): string[][] {
  const own = [[...path]];
  if (typeof value !== 'object' || value === null) return own;
  if (value instanceof Uint8Array) return own;
  const inner = Object.entries(value).flatMap(([name, item]) =>
    listPaths(item, [...path, name]),
  );
  return [...own, ...inner];
}

function setValue(
  target: unknown,
  path: readonly string[],
  value: unknown,
): unknown {
  const [name, ...rest] = path;
  if (name === undefined) return value;
  const copy = (
    Array.isArray(target) ? [...(target as unknown[])] : {...(target as object)}
  ) as Record<string, unknown>;
  copy[name] = setValue(copy[name], rest, value);
  return copy;
}

test('a message with any odd value is decoded or refused', () => {
  const check = (message: object, place: number, value: unknown) => {
    const paths = listPaths(message);
    const odd = setValue(message, paths[place % paths.length]!, value);
    const result = decodeMessage(odd);
    assert.ok(result.isOk || result.error.message.length < 500);
  };
  const messages = fc.constantFrom(...soundMessages);
  fc.assert(fc.property(messages, fc.nat(1000), oddValues, check), runs);
});
