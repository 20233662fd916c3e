import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {DropReason, type KeptEndpoint} from '@zinniaspindle/decisions';
import {KeptConnections} from '../src/links/kept_connections.js';
import {
  EndProof,
  type EndpointConnection,
} from '../src/links/open_connection.js';
import {Metrics} from '../src/log/metrics.js';

const end = {
  isFramed: true,
  connection: undefined,
  keepAlive: 'timeout=5',
  isUnwanted: false,
  hasExtraBytes: false,
};

/** A connection whose endpoint's bytes are written to it. */
function makeConnection(relay?: string): EndpointConnection {
  const socket = Object.assign(new PassThrough(), {bytesRead: 0});
  return {socket, endProof: EndProof.Write, relay};
}

class Bench {
  now = 0;
  readonly endpoints = new Map<string, KeptEndpoint>();
  readonly metrics = new Metrics();
  readonly kept = new KeptConnections({
    findEndpoint: id => this.endpoints.get(id),
    recordReached: () => undefined,
    metrics: this.metrics,
    getNow: () => this.now,
  });

  getKeeper(id = 'e1', bornAt = 1, request?: string) {
    const address = `${id}:80`;
    if (!this.endpoints.has(id)) {
      this.endpoints.set(id, {address, bornAt, isWanted: true});
    }
    const target = {id, address, bornAt};
    return request === undefined
      ? this.kept.makeReportKeeper(target)
      : this.kept.makeKeeper(target, request);
  }

  readCount(reason: string): number {
    const pattern = new RegExp(`connections_dropped_${reason}_total (\\d+)`);
    return Number(pattern.exec(this.metrics.render())![1]);
  }
}

test('a connection is taken by one request only', () => {
  const bench = new Bench();
  const keeper = bench.getKeeper();
  const connection = makeConnection();
  keeper.accept(connection, end);
  assert.equal(keeper.take(), connection);
  assert.equal(keeper.take(), undefined);
  assert.equal(connection.socket.listenerCount('data'), 0);
});

test('bytes that come while it is idle drop a connection', async () => {
  const bench = new Bench();
  const keeper = bench.getKeeper();
  const connection = makeConnection();
  keeper.accept(connection, end);
  connection.socket.write('HTTP/1.1 200 OK\r\n');
  await new Promise(resolve => setImmediate(resolve));
  assert.equal(connection.socket.destroyed, true);
  assert.equal(keeper.take(), undefined);
  assert.equal(bench.readCount('extra_bytes'), 1);
});

test('a connection that ends while it is idle is not taken', async () => {
  const bench = new Bench();
  const keeper = bench.getKeeper();
  const connection = makeConnection();
  keeper.accept(connection, end);
  connection.socket.end();
  await new Promise(resolve => setImmediate(resolve));
  assert.equal(connection.socket.destroyed, true);
  assert.equal(keeper.take(), undefined);
  assert.equal(bench.readCount('closed'), 1);
});

test('a restarted endpoint gets no connection of its earlier incarnation', () => {
  const bench = new Bench();
  const connection = makeConnection();
  bench.getKeeper().accept(connection, end);
  const entry = bench.endpoints.get('e1')!;
  bench.endpoints.set('e1', {...entry, bornAt: 2});
  assert.equal(bench.getKeeper('e1', 2).take(), undefined);
  assert.equal(connection.socket.destroyed, true);
  assert.equal(bench.readCount('replaced'), 1);
});

test('an answer that was asked of an earlier incarnation keeps nothing', () => {
  const bench = new Bench();
  const keeper = bench.getKeeper();
  const entry = bench.endpoints.get('e1')!;
  bench.endpoints.set('e1', {...entry, bornAt: 2});
  const connection = makeConnection();
  keeper.accept(connection, end);
  assert.equal(connection.socket.destroyed, true);
});

test('another service that took the address gets no earlier connection', () => {
  const bench = new Bench();
  const connection = makeConnection();
  const keeper = bench.getKeeper();
  keeper.accept(connection, end);
  bench.endpoints.delete('e1');
  bench.endpoints.set('e2', {address: 'e1:80', bornAt: 1, isWanted: true});
  const target = {id: 'e2', address: 'e1:80', bornAt: 1};
  assert.equal(bench.kept.makeReportKeeper(target).take(), undefined);
  bench.kept.dropStale();
  assert.equal(connection.socket.destroyed, true);
});

test('a pause, a suspicion or a leave closes the idle connections', () => {
  const bench = new Bench();
  const connection = makeConnection();
  bench.getKeeper().accept(connection, end);
  const entry = bench.endpoints.get('e1')!;
  bench.endpoints.set('e1', {...entry, isWanted: false});
  bench.kept.dropStale();
  assert.equal(connection.socket.destroyed, true);
  assert.equal(bench.readCount('unwanted'), 1);
});

test('a connection is gone before its endpoint closes it', () => {
  const bench = new Bench();
  const keeper = bench.getKeeper();
  const connection = makeConnection();
  keeper.accept(connection, end);
  bench.now = 4499;
  bench.kept.dropStale();
  assert.equal(bench.kept.count(), 1);
  bench.now = 4500;
  assert.equal(keeper.take(), undefined);
  assert.equal(connection.socket.destroyed, true);
  assert.equal(bench.readCount('expired'), 1);
});

test('an endpoint keeps two idle connections at most', () => {
  const bench = new Bench();
  const keeper = bench.getKeeper();
  const connections = [1, 2, 3].map(() => makeConnection());
  for (const one of connections) keeper.accept(one, end);
  assert.equal(bench.kept.count(), 2);
  assert.equal(connections[0]!.socket.destroyed, true);
  assert.equal(keeper.take(), connections[2]);
});

test('a VM keeps 128 idle connections at most, and drops the oldest', () => {
  const bench = new Bench();
  const first = makeConnection();
  bench.getKeeper('e0').accept(first, end);
  for (let i = 1; i <= 128; i += 1) {
    bench.getKeeper(`e${i}`).accept(makeConnection(), end);
  }
  assert.equal(bench.kept.count(), 128);
  assert.equal(first.socket.destroyed, true);
  assert.equal(bench.readCount('excess'), 1);
});

test('a stop closes the idle connections and keeps no further ones', () => {
  const bench = new Bench();
  const keeper = bench.getKeeper();
  const connections = [makeConnection(), makeConnection()];
  keeper.accept(connections[0]!, end);
  bench.kept.close();
  keeper.accept(connections[1]!, end);
  assert.equal(bench.kept.count(), 0);
  for (const {socket} of connections) assert.equal(socket.destroyed, true);
});

test('a connection through a peer is not kept', () => {
  const bench = new Bench();
  const connection = makeConnection('vm-2');
  bench.getKeeper().accept(connection, end);
  assert.equal(connection.socket.destroyed, true);
  assert.equal(bench.kept.count(), 0);
});

test('every reason is counted', () => {
  const text = new Metrics().render();
  const counted = text.match(/connections_dropped_\w+ 0/g) ?? [];
  assert.equal(counted.length, Object.values(DropReason).length);
});

// Guards against a late copy of an answer that is taken for that to a request with
// the same id.
test('a connection is not taken for an id that it has had', () => {
  const bench = new Bench();
  bench.getKeeper('e1', 1, 'same').accept(makeConnection(), end);
  assert.equal(bench.getKeeper('e1', 1, 'same').take(), undefined);
  assert.notEqual(bench.getKeeper('e1', 1, 'other').take(), undefined);
});

// Guards against ids that are remembered without a bound.
test('a connection is closed after 64 requests', () => {
  const bench = new Bench();
  const connection = makeConnection();
  let uses = 0;
  while (!connection.socket.destroyed && uses < 100) {
    bench.getKeeper('e1', 1, `r${uses}`).accept(connection, end);
    uses += 1;
    bench.getKeeper('e1', 1, `r${uses}`).take();
  }
  assert.equal(uses, 64);
});
