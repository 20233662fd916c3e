import assert from 'node:assert/strict';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import type {Readable} from 'node:stream';
import {after, test} from 'node:test';
import {UnframedVerdict} from '@zinniaspindle/decisions';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {reservePort} from '@zinniaspindle/stand-ins';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import {LoadTracker} from '../src/fleet/load_tracker.js';
import {EndpointLinks} from '../src/links/endpoint_links.js';
import type {Relay} from '../src/links/relay_client.js';
import {encodeMessage} from '../src/peers/message_codec.js';
import {makeRelayRequest, RelayOutcome} from '../src/peers/messages.js';
import {Upstream, UpstreamEnd} from '../src/requests/upstream.js';
import {exchangeCodec} from '../../../platform/src/exchange_codec.js';
import {parseAddress} from '@zinniaspindle/shared';
import type {EndpointConnection} from '../src/links/open_connection.js';
import {RelayServer} from '../src/links/relay_server.js';
import {Metrics} from '../src/log/metrics.js';
import {PeerMesh} from '../src/peers/peer_mesh.js';
import {makeEntry} from './make_entry.js';

// A VM whose connections to an endpoint are refused, and peers that may reach it.

const closedAddress = '127.0.0.1:1';
const getNow = () => performance.now();
const logNothing = () => undefined;
const closers: (() => unknown)[] = [];

after(() => {
  for (const close of closers) close();
});

async function openEndpoint(
  accept: (socket: net.Socket) => void,
): Promise<string> {
  const server = net.createServer({allowHalfOpen: true}, socket => {
    socket.on('error', () => undefined);
    accept(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  closers.push(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Opens a peer that knows an endpoint at an address. */
async function openPeer(vm: string, address: string) {
  const table = new EndpointTable(logNothing, getNow);
  table.applyEntry(makeEntry({address}));
  const links = new EndpointLinks(() => [], new Metrics(), logNothing, getNow);
  const relays = new RelayServer(table, links, new Metrics(), logNothing);
  const port = await reservePort();
  const peerAddress = `127.0.0.1:${port}`;
  const own = {
    vm,
    startedAt: 1,
    peerAddress,
    callerAddress: '',
    linkMegabits: 1,
  };
  const mesh = new PeerMesh(
    own,
    new LoadTracker(),
    logNothing,
    logNothing,
    getNow,
    (socket, request) => relays.accept(socket, request),
  );
  await mesh.open({host: '127.0.0.1', port}, []);
  closers.push(() => mesh.close());
  return {vm, peerAddress, table, relays, close: () => mesh.close()};
}

type TestPeer = Awaited<ReturnType<typeof openPeer>>;

/** Opens a connection of a VM to an address where it finds nothing. */
function open(
  peers: readonly TestPeer[],
  lines: unknown[] = [],
): Promise<EndpointConnection | Error> {
  const links = new EndpointLinks(
    () => peers,
    new Metrics(),
    (event, fields) => lines.push([event, fields]),
    getNow,
  );
  const target = {id: 'e1', address: closedAddress, purpose: 'request r1'};
  return new Promise(resolve => {
    links.open(target, result => {
      resolve(result.isOk ? result.value : result.error);
    });
  });
}

async function readAll(socket: Readable): Promise<string> {
  let text = '';
  for await (const chunk of socket) text += String(chunk);
  return text;
}

test('a connection goes through a peer that reaches the endpoint', async () => {
  const address = await openEndpoint(socket => {
    socket.on('data', chunk => socket.end(`got ${chunk}`));
  });
  const peers = [
    await openPeer('vm-1', closedAddress),
    await openPeer('vm-2', address),
  ];
  const opened = await open(peers);
  assert.ok(!(opened instanceof Error));
  assert.equal(opened.relay, 'vm-2');
  opened.socket.write('hello');
  assert.equal(await readAll(opened.socket), 'got hello');
});

test('a reset of the endpoint reaches the VM as one', async () => {
  const address = await openEndpoint(socket => {
    socket.on('data', () => {
      socket.write('half');
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  });
  const opened = await open([await openPeer('vm-1', address)]);
  assert.ok(!(opened instanceof Error));
  opened.socket.write('hello');
  await assert.rejects(readAll(opened.socket), /ECONNRESET/);
});

test('a VM that gives a connection up closes that of its peer', async () => {
  let isClosed = false;
  const address = await openEndpoint(socket => {
    socket.resume();
    socket.on('end', () => (isClosed = true));
  });
  const peer = await openPeer('vm-1', address);
  const opened = await open([peer]);
  assert.ok(!(opened instanceof Error));
  assert.equal(peer.relays.count(), 1);
  opened.socket.destroy();
  await waitMilliseconds(100);
  assert.equal(isClosed, true);
  assert.equal(peer.relays.count(), 0);
});

test('an endpoint that refuses peers as well has ended', async () => {
  // Another endpoint shows the peer that its own links work.
  const sound = await openEndpoint(logNothing);
  const peer = await openPeer('vm-1', closedAddress);
  peer.table.applyEntry(makeEntry({id: 'e2', address: sound}));
  const error = (await open([peer])) as NodeJS.ErrnoException;
  assert.equal(error.code, 'ECONNREFUSED');
});

test('a peer whose own connections fail does not confirm an end', async () => {
  const peer = await openPeer('vm-1', closedAddress);
  peer.table.applyEntry(makeEntry({id: 'e2', address: '127.0.0.1:2'}));
  const error = (await open([peer])) as NodeJS.ErrnoException;
  assert.ok(error instanceof Error);
  assert.equal(error.code, 'ETIMEDOUT');
});

test('a refused connection without peers is the end of an endpoint', async () => {
  const error = (await open([])) as NodeJS.ErrnoException;
  assert.equal(error.code, 'ECONNREFUSED');
});

test('a peer passes nothing on to an endpoint that asked it for a pause', async () => {
  const address = await openEndpoint(logNothing);
  const peer = await openPeer('vm-1', address);
  const state = peer.table.find('e1')!;
  const notice = {isLeaving: false, pauseMilliseconds: 2000};
  peer.table.acceptNotice({id: 'e1', bornAt: state.bornAt}, notice, 'test');
  assert.ok((await open([peer])) instanceof Error);
});

/** Passes connections on without frames, like an older build, and ends them. */
async function openOldPeer(text: string): Promise<Relay> {
  const peerAddress = await openEndpoint(socket => {
    socket.once('data', () => socket.write(RelayOutcome.Open));
    socket.once('data', () => socket.end(text));
  });
  return {vm: 'old', peerAddress};
}

/** Asks an endpoint through peers; tells how the answer ended. */
function ask(
  peers: readonly Relay[],
): Promise<{end: UpstreamEnd; body: string}> {
  const links = new EndpointLinks(
    () => peers,
    new Metrics(),
    logNothing,
    getNow,
  );
  const target = {id: 'e1', address: closedAddress, purpose: 'request r1'};
  return new Promise(resolve => {
    let body = '';
    const upstream = new Upstream(
      {
        ...{address: closedAddress, method: 'GET', path: '/'},
        ...{headers: ['Host', 'x'], body: Buffer.alloc(0), attemptId: 'r1'},
        canRunAgain: true,
        deadline: getNow() + 5000,
        verifyEnd: () => Promise.resolve(UnframedVerdict.Whole),
        openConnection: handle => links.open(target, handle),
      },
      exchangeCodec,
      {
        handleAnswer: () => undefined,
        handleChunk: chunk => {
          body += chunk.toString();
          return undefined;
        },
        handleEnd: end => resolve({end, body}),
      },
    );
    assert.ok(upstream);
  });
}

const answerHead = 'HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n';

test('an answer without a length through a peer ends with its endpoint', async () => {
  const body = 'x'.repeat(200_000);
  const address = await openEndpoint(socket => {
    socket.once('data', () => socket.end(`${answerHead}\r\n${body}`));
  });
  const outcome = await ask([await openPeer('vm-1', address)]);
  assert.deepEqual(outcome, {end: UpstreamEnd.Complete, body});
});

test('an answer without a length is broken when the peer is killed', async () => {
  const address = await openEndpoint(socket => {
    socket.once('data', () => socket.write(`${answerHead}\r\nhalf`));
  });
  const peer = await openPeer('vm-1', address);
  const asked = ask([peer]);
  await waitMilliseconds(200);
  // As the kernel does with the connections of a process that is killed.
  peer.close();
  assert.deepEqual(await asked, {end: UpstreamEnd.Broken, body: 'half'});
});

test('an answer with a length through a peer is complete in any case', async () => {
  const head = `${answerHead}Content-Length: 4\r\n\r\n`;
  const address = await openEndpoint(socket => {
    socket.once('data', () => socket.end(`${head}body`));
  });
  const complete = {end: UpstreamEnd.Complete, body: 'body'};
  assert.deepEqual(await ask([await openPeer('vm-1', address)]), complete);
  assert.deepEqual(await ask([await openOldPeer(`${head}body`)]), complete);
});

test('the end of an older peer does not make an answer without a length whole', async () => {
  const peer = await openOldPeer(`${answerHead}\r\nhalf`);
  assert.deepEqual(await ask([peer]), {end: UpstreamEnd.Broken, body: 'half'});
});

test('an older build reads a connection that is passed on without frames', async () => {
  const address = await openEndpoint(socket => {
    socket.once('data', () => socket.end('answer'));
  });
  const {peerAddress} = await openPeer('vm-1', address);
  const {host, port} = parseAddress(peerAddress);
  const socket = net.connect({host, port, allowHalfOpen: true});
  const {kind} = makeRelayRequest('e1', 'request r1');
  socket.write(encodeMessage({kind, id: 'e1', purpose: 'request r1'}));
  const text = readAll(socket);
  await waitMilliseconds(100);
  socket.write('GET');
  assert.equal(await text, `${RelayOutcome.Open}answer`);
  socket.destroy();
});
