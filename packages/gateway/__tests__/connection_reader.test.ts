import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  ConnectionReader,
  ReadFault,
} from '../src/connections/connection_reader.js';

// A connection is read request by request, however its bytes are cut into pieces. Guards
// against requests that are read past a bound, changed or lost.

const bounds = {maxHeadBytes: 2000, maxLeftBytes: 100_000};
const settleMilliseconds = 50;

/** A server whose connections are read by a reader. */
interface ReadServer {
  readonly port: number;
  /** Method, path and body of each request, in the order of their heads. */
  readonly requests: string[];
  readonly faults: ReadFault[];
  readonly responses: http.ServerResponse[];
  mostOpen: number;
}

async function startServer(
  context: TestContext,
  maxOpen: number,
  hasMemory = (bytes: number) => bytes >= 0,
): Promise<ReadServer> {
  const readers = new Map<Socket, ConnectionReader>();
  let open = 0;
  const server = http.createServer((message, response) => {
    readers.get(message.socket)!.startMessage(message, response);
    open += 1;
    state.mostOpen = Math.max(state.mostOpen, open);
    const at = state.requests.push('') - 1;
    state.responses.push(response);
    let body = '';
    message.on('data', (chunk: Buffer) => (body += chunk.toString('latin1')));
    message.on('end', () => {
      state.requests[at] = `${message.method} ${message.url} ${body}`;
      if (maxOpen > 0) setTimeout(() => response.end(message.url), 1);
    });
    response.on('close', () => {
      open -= 1;
      const reader = readers.get(message.socket)!;
      if (reader.isHolding()) setImmediate(reader.readOn);
    });
  });
  server.on('connection', (socket: Socket) => {
    const reader = new ConnectionReader(socket, {
      getBounds: () => bounds,
      canTake: () => open < Math.max(1, maxOpen),
      setHeld: hasMemory,
      handleFault: fault => state.faults.push(fault),
    });
    readers.set(socket, reader);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const {port} = server.address() as AddressInfo;
  const state: ReadServer = {
    ...{port, requests: [], faults: [], responses: [], mostOpen: 0},
  };
  return state;
}

const host = 'Host: a\r\n';
/** Bodies that look like the ends of heads, and heads. */
const bodies = ['x', '\r\n\r\n', `\r\n\r\nGET /no HTTP/1.1\r\n${host}\r\n`];

/** Formats a request of one of several forms, and what is read of it. */
function formatRequest(form: number, index: number): [string, string] {
  const body = bodies[index % bodies.length]!;
  const path = `/${index}`;
  if (form === 0) {
    return [`GET ${path} HTTP/1.1\r\n${host}\r\n`, `GET ${path} `];
  }
  if (form === 1) {
    const length = `Content-Length: ${body.length}\r\n`;
    const text = `POST ${path} HTTP/1.1\r\n${host}${length}\r\n${body}`;
    return [text, `POST ${path} ${body}`];
  }
  const head = `PUT ${path} HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\n`;
  const size = body.length.toString(16);
  const trailer = form === 2 ? '' : 'T: u\r\n';
  return [
    `${head}${size}\r\n${body}\r\n0\r\n${trailer}\r\n`,
    `PUT ${path} ${body}`,
  ];
}

async function openSocket(context: TestContext, port: number): Promise<Socket> {
  const socket = net.connect(port, '127.0.0.1');
  context.after(() => socket.destroy());
  socket.setNoDelay(true);
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`requests in random pieces are read whole and in order, seed ${seed}`, async context => {
    const maxOpen = 3;
    const state = await startServer(context, maxOpen);
    const random = xoroshiro128plus(seed);
    const pick = (max: number) => uniformInt(random, 0, max);
    const count = 60;
    let text = '';
    const expected: string[] = [];
    for (let i = 0; i < count; i += 1) {
      const [bytes, read] = formatRequest(pick(3), i);
      text += pick(4) === 0 ? `\r\n${bytes}` : bytes;
      expected.push(read);
    }
    const socket = await openSocket(context, state.port);
    socket.resume();
    for (let at = 0; at < text.length;) {
      const end = at + 1 + pick(seed % 2 === 0 ? 400 : 20);
      socket.write(text.slice(at, end), 'latin1');
      await new Promise(resolve => setImmediate(resolve));
      at = end;
    }
    while (state.requests.length < count || state.requests.includes('')) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    assert.deepEqual(state.requests, expected);
    assert.ok(state.mostOpen <= maxOpen, `${state.mostOpen} open`);
  });
}

test('no request is read while there is no room for it', async context => {
  const state = await startServer(context, 0);
  const socket = await openSocket(context, state.port);
  const [first] = formatRequest(1, 0);
  const [second] = formatRequest(0, 1);
  socket.write(`${first}${second}`.repeat(100));
  await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
  assert.equal(state.requests.length, 1);
});

test('a head that does not end is a fault at its bound', async context => {
  const state = await startServer(context, 1);
  const socket = await openSocket(context, state.port);
  socket.write(`GET / HTTP/1.1\r\na: ${'x'.repeat(3 * bounds.maxHeadBytes)}`);
  await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
  assert.deepEqual(state.faults, [ReadFault.HeadTooLarge]);
});

test('a body after its answer is a fault beyond its bound', async context => {
  const state = await startServer(context, 0);
  const socket = await openSocket(context, state.port);
  socket.resume();
  const length = 10 * bounds.maxLeftBytes;
  socket.write(`POST / HTTP/1.1\r\n${host}Content-Length: ${length}\r\n\r\nx`);
  await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
  state.responses[0]!.end('no');
  socket.write('x'.repeat(length / 2));
  await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
  assert.deepEqual(state.faults, [ReadFault.BodyTooLarge]);
});

test('bytes that there is no memory for are a fault, and dropped', async context => {
  const state = await startServer(context, 0, bytes => bytes < 1000);
  const socket = await openSocket(context, state.port);
  socket.write(formatRequest(0, 0)[0].repeat(100));
  await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
  assert.deepEqual(state.faults, [ReadFault.NoMemory]);
  assert.equal(state.requests.length, 1);
});
