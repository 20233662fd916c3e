import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {test} from 'node:test';
import {FrameReader} from '@zinniaspindle/framing';
import {LineWriter} from '../src/log/line_writer.js';
import {Counter, Latency, Metrics} from '../src/log/metrics.js';
import {
  computeClosedMessageAt,
  computeHeartbeatPeriod,
  computeSilenceTimeout,
} from '../src/peers/heartbeat_period.js';
import {decodeMessage, encodeMessage} from '../src/peers/message_codec.js';
import {computeRank, computeRankWeight} from '../src/peers/compute_rank.js';
import {
  PeerMessageKind,
  PeerPhase,
  type PeerMessage,
} from '../src/peers/messages.js';
import type {Configuration, Route} from '../src/ports/index.js';
import {RouteKind, Topic} from '../src/ports/index.js';
import {EventSplitter} from '../src/requests/event_splitter.js';
import {pickTarget, RouteIndex} from '../src/requests/route_index.js';
import {RetryBudgets} from '../src/requests/retry_budgets.js';
import {listCallerAddresses} from '../src/root/list_addresses.js';
import {PauseDetector} from '../src/root/pause_detector.js';
import {makeIntake} from './make_intake.js';

function makeRoute(name: string, pathPrefix: string): Route {
  return {
    name,
    host: 'h',
    pathPrefix,
    kind: RouteKind.Safe,
    timeoutMilliseconds: 1000,
    targetLatencyMilliseconds: 100,
    priority: 0,
    targets: [{service: 's', weight: 1}],
    maxAttempts: 1,
    isPublic: false,
    isResumable: false,
  };
}

function makePeer(
  callerAddress: string,
  phase: PeerPhase,
  isReachable: boolean,
) {
  return {callerAddress, phase, isReachable};
}

test('the route with the longest matching prefix is found', () => {
  const routes = [makeRoute('short', '/a/'), makeRoute('long', '/a/b/')];
  const index = new RouteIndex({
    routes,
  } as Partial<Configuration> as Configuration);
  assert.equal(index.find('h', '/a/b/c')?.name, 'long');
  assert.equal(index.find('h', '/a/c?x=/a/b/')?.name, 'short');
  assert.equal(index.find('h', '/a')?.name, undefined);
  assert.equal(index.find('other', '/a/b/c'), undefined);
});

test('targets are picked by weight', () => {
  const targets = [
    {service: 'a', weight: 90},
    {service: 'b', weight: 10},
  ];
  assert.equal(pickTarget(targets, 0.89), 'a');
  assert.equal(pickTarget(targets, 0.9), 'b');
  assert.equal(pickTarget(targets, 0.999), 'b');
});

test('a stream is split into complete events at any chunk size', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda';
  for (let size = 1; size <= text.length; size += 1) {
    const splitter = new EventSplitter(makeIntake());
    let whole = '';
    let lastId: string | undefined;
    for (let at = 0; at < text.length; at += size) {
      const events = splitter.accept(Buffer.from(text.slice(at, at + size)));
      whole += events?.bytes.toString() ?? '';
      lastId = events?.lastId ?? lastId;
    }
    assert.equal(whole, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', `size ${size}`);
    assert.equal(lastId, '2');
    assert.equal(splitter.hasPartialEvent(), true);
  }
});

test('the id of an event need not be its first line', () => {
  const splitter = new EventSplitter(makeIntake());
  const events = splitter.accept(
    Buffer.from('weight-versions: 2\nid: 7\ndata: a\n\n'),
  );
  assert.equal(events?.lastId, '7');
  assert.equal(splitter.hasPartialEvent(), false);
});

/** Lists the addresses as a VM of unknown capacity does. */
function listAddresses(
  address: string,
  phase: PeerPhase,
  peers: Parameters<typeof listCallerAddresses>[2],
): string[] {
  const own = {address, cores: undefined};
  return listCallerAddresses(own, phase, peers, () => 0);
}

test('only ready, reachable VMs are listed for callers', () => {
  const peers = [
    makePeer('b', PeerPhase.Ready, true),
    makePeer('c', PeerPhase.Ready, false),
    makePeer('d', PeerPhase.Starting, true),
  ];
  assert.deepEqual(listAddresses('a', PeerPhase.Ready, peers), ['a', 'b']);
  assert.deepEqual(listAddresses('a', PeerPhase.Leaving, peers), ['b']);
});

test('leaving VMs are listed while no VM is ready', () => {
  const peers = [
    makePeer('b', PeerPhase.Leaving, true),
    makePeer('c', PeerPhase.Leaving, false),
    makePeer('d', PeerPhase.Starting, true),
  ];
  assert.deepEqual(listAddresses('a', PeerPhase.Leaving, peers), ['a', 'b']);
  assert.deepEqual(listAddresses('a', PeerPhase.Starting, peers), ['b']);
});

test('a VM that reaches no peer lists all ready VMs that it knows', () => {
  const peers = [1, 2, 3, 4, 5].map(number =>
    makePeer(`p${number}`, PeerPhase.Ready, false),
  );
  assert.equal(listAddresses('a', PeerPhase.Ready, peers).length, 6);
});

test('a pause is detected by a late timer and by the wall clock', () => {
  const clock = {monotonic: 0, wall: 0};
  const detector = new PauseDetector(
    40,
    () => clock.monotonic,
    () => clock.wall,
  );
  clock.monotonic += 45;
  clock.wall += 45;
  assert.equal(detector.measure(), 0);
  clock.monotonic += 40;
  clock.wall += 3040;
  assert.equal(detector.measure(), 3000);
  clock.monotonic += 1040;
  clock.wall += 1040;
  assert.equal(detector.measure(), 1000);
});

test('lines are dropped, without blocking, when the log reader is slow', () => {
  const written: string[] = [];
  const output = new Writable({
    highWaterMark: 1,
    write: (chunk: Buffer) => {
      written.push(chunk.toString()); // The callback is never called: the reader is stuck.
    },
  });
  const writer = new LineWriter(output);
  writer.write('first');
  writer.writeAll();
  for (let i = 0; i < 3000; i += 1) writer.write('x'.repeat(100));
  writer.writeAll();
  assert.deepEqual(written, ['first\n']);
  output.emit('drain');
  writer.writeAll();
  output.destroy();
});

test('retries are limited by a ratio of requests and a share of the slack', () => {
  const budgets = new RetryBudgets(
    {
      graceMilliseconds: 0,
      applyMilliseconds: 2000,
      drainMilliseconds: 2000,
      stallMilliseconds: 2500,
      retryRatio: 0.2,
      retrySlack: 120,
    },
    () => 12,
  );
  let retries = 0;
  while (budgets.takeRetry('s')) retries += 1;
  assert.equal(retries, 8);
  for (let i = 0; i < 100; i += 1) budgets.recordRequest('s');
  while (budgets.takeRetry('s')) retries += 1;
  assert.ok(retries <= 8 + 20, `${retries}`);
});

test('metrics are rendered one per line', () => {
  const metrics = new Metrics();
  metrics.count(Counter.Requests);
  metrics.record(Latency.Answer, 12.4);
  const text = metrics.render();
  assert.match(text, /^zinniaspindle_gateway_requests_total 1$/m);
  assert.match(text, /answer_milliseconds\{quantile="0.5"\} 12$/m);
});

test('heartbeats are sent less often in a large fleet', () => {
  assert.equal(computeHeartbeatPeriod(0), 250);
  assert.equal(computeHeartbeatPeriod(14), 250);
  assert.equal(computeHeartbeatPeriod(40), 500);
  assert.equal(computeHeartbeatPeriod(80), 1000);
  assert.equal(computeHeartbeatPeriod(340), 2000);
});

test('a silent peer is unreachable within five seconds in any fleet', () => {
  assert.equal(computeSilenceTimeout(14), 1000);
  assert.equal(computeSilenceTimeout(80), 4000);
  assert.equal(computeSilenceTimeout(340), 5000);
});

// The process of a peer ended, which closes its connections, while the next
// heartbeat would have been due seconds later.
test('a peer whose connection closed must connect again soon', () => {
  const now = 100_000;
  const closedAt = computeClosedMessageAt(now - 300, 194, now);
  assert.equal(closedAt + computeSilenceTimeout(194), now + 1200);
  const silentAt = now - 4500;
  assert.equal(computeClosedMessageAt(silentAt, 194, now), silentAt);
});

test('VMs with faster links rank first, and all VMs compute the same ranks', () => {
  const vms = ['a', 'b', 'c', 'd'].map(vm => ({
    vm,
    linkMegabits: vm === 'c' ? 200 : 14,
    rankWeight: computeRankWeight(vm),
  }));
  const ranks = vms.map(own =>
    computeRank(
      own,
      vms.filter(other => other !== own),
    ),
  );
  assert.equal(ranks[2], 0);
  assert.deepEqual([...ranks].sort(), [0, 1, 2, 3]);
});

test('a heartbeat is encoded without field names and decodes to the same value', () => {
  const heartbeat: PeerMessage = {
    kind: PeerMessageKind.Heartbeat,
    phase: PeerPhase.Ready,
    isOwner: true,
    canRead: true,
    sentAt: 1_790_000_000_123,
    topics: [
      {topic: Topic.Configuration, era: 3, next: 7, ageMilliseconds: 20},
      {
        topic: Topic.Endpoints,
        era: undefined,
        next: 12_345,
        ageMilliseconds: 950,
      },
    ],
    loads: [[4_000_000_000, 'i-12ba9ddaf8', 3, 2400]],
    storeEra: 4,
    quarantines: [],
  };
  const frame = encodeMessage(heartbeat);
  const decoded = new FrameReader().accept(frame).unwrapOr([]);
  assert.deepEqual(decodeMessage(decoded[0]).unwrapOr(undefined), heartbeat);
  assert.ok(frame.length < 60, `${frame.length} bytes`);
});

test('large records are compressed and decode to the same value', () => {
  const value = Buffer.from('{"name":"route","timeoutMs":1500},'.repeat(400));
  const message: PeerMessage = {
    kind: PeerMessageKind.Records,
    topic: Topic.Configuration,
    from: 3,
    next: 4,
    sentAt: 9,
    rows: [
      ['config', value, 3],
      ['gone', null, 4],
    ],
  };
  const frame = encodeMessage(message);
  assert.ok(frame.length < value.length / 10, `${frame.length} bytes`);
  const decoded = new FrameReader().accept(frame).unwrapOr([]);
  const result = decodeMessage(decoded[0]).unwrapOr(undefined);
  assert.ok(result?.kind === PeerMessageKind.Records);
  assert.deepEqual(Buffer.from(result.rows[0]![1]!), value);
  assert.deepEqual(result.rows[1], ['gone', null, 4]);
  const broken = {kind: 'records', compressedRows: Buffer.from([1, 2, 3])};
  assert.ok(decodeMessage(broken).isErr);
});

test('a heartbeat of an older build has no eras', () => {
  const row = [1, false, [0, 7, 20], [], true, 9];
  const heartbeat = decodeMessage(row).unwrapOr(undefined);
  assert.ok(heartbeat?.kind === PeerMessageKind.Heartbeat);
  assert.equal(heartbeat.storeEra, undefined);
  assert.equal(heartbeat.topics[0]!.era, undefined);
});

test('a malformed era in a heartbeat is unknown', () => {
  const row = [1, false, [0, 7, 20], [], true, 9, ['x', -2]];
  const heartbeat = decodeMessage(row).unwrapOr(undefined);
  assert.ok(heartbeat?.kind === PeerMessageKind.Heartbeat);
  assert.equal(heartbeat.storeEra, undefined);
  assert.equal(heartbeat.topics[0]!.era, undefined);
});

test('a malformed heartbeat is refused', () => {
  assert.ok(decodeMessage([9, true, [], []]).isErr);
  assert.ok(decodeMessage([1, true, 'x', []]).isErr);
  assert.ok(decodeMessage([]).isErr);
});

test('VMs of a large fleet list different subsets of 64 VMs', () => {
  const peers: ReturnType<typeof makePeer>[] = [];
  for (let i = 0; i < 130; i += 1) {
    peers.push(makePeer(`10.0.0.${i}:80`, PeerPhase.Ready, true));
  }
  const first = listAddresses('a:1', PeerPhase.Ready, peers);
  const second = listAddresses('b:1', PeerPhase.Ready, peers);
  assert.equal(first.length, 64);
  const shared = second.filter(address => first.includes(address));
  assert.ok(shared.length < 50, `${shared.length} named twice`);
});
