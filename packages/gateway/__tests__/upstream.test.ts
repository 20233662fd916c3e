import assert from 'node:assert/strict';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {test} from 'node:test';
import {UnframedVerdict} from '@zinniaspindle/decisions';
import type {ExchangeCodec} from '../src/ports/index.js';
import {
  Upstream,
  UpstreamEnd,
  type UpstreamRequest,
} from '../src/requests/upstream.js';

const bodyBytes = 300_000;
/** The time that a slow reader takes for a piece. */
const readerMilliseconds = 20;

const codec = {
  decodeAnswer: message => ({
    status: message.statusCode ?? 0,
    attemptId: String(message.headers['x-id']),
    hasSeal: true,
    isNotRun: false,
    isMisdirected: false,
    isLeaving: false,
    pauseMilliseconds: undefined,
    endpointId: undefined,
    failedAddress: undefined,
    forwardedHeaders: [],
  }),
} as Partial<ExchangeCodec> as ExchangeCodec;

interface Outcome {
  readonly end: UpstreamEnd;
  readonly body: string;
}

/** Sends a request to a server that answers with the given function. */
async function runWithAnswer(
  answer: (socket: net.Socket) => void,
): Promise<Outcome> {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const outcome = await send(`127.0.0.1:${port}`);
  server.close();
  return outcome;
}

function makeRequest(address: string): UpstreamRequest {
  return {
    address,
    method: 'GET',
    path: '/',
    headers: ['Host', 'x', 'Connection', 'close'],
    body: Buffer.alloc(0),
    attemptId: 'r1',
    canRunAgain: true,
    deadline: performance.now() + 2000,
    verifyEnd: () => Promise.resolve(UnframedVerdict.Whole),
  };
}

function send(address: string): Promise<Outcome> {
  return new Promise(resolve => {
    let body = '';
    const upstream = new Upstream(makeRequest(address), codec, {
      handleAnswer: () => undefined,
      handleChunk: chunk => {
        body += chunk.toString();
      },
      handleEnd: end => resolve({end, body}),
    });
    assert.ok(upstream);
  });
}

const head = 'HTTP/1.1 200 OK\r\nX-Id: r1\r\n';

test('an answer with Content-Length is complete', async () => {
  const outcome = await runWithAnswer(socket => {
    socket.end(`${head}Content-Length: 4\r\n\r\nbody`);
  });
  assert.deepEqual(outcome, {end: UpstreamEnd.Complete, body: 'body'});
});

test('bytes after a complete answer are ignored', async () => {
  const outcome = await runWithAnswer(socket => {
    socket.end(`${head}Content-Length: 4\r\n\r\nbody${head}\r\nmore`);
  });
  assert.deepEqual(outcome, {end: UpstreamEnd.Complete, body: 'body'});
});

test('an answer shorter than its Content-Length is broken', async () => {
  const outcome = await runWithAnswer(socket => {
    socket.end(`${head}Content-Length: 9\r\n\r\nbody`);
  });
  assert.equal(outcome.end, UpstreamEnd.Broken);
});

test('an answer without Content-Length ends with its connection', async () => {
  const outcome = await runWithAnswer(socket => {
    socket.end(`${head}\r\nbody`);
  });
  assert.deepEqual(outcome, {end: UpstreamEnd.Complete, body: 'body'});
});

test('an answer without Content-Length is broken by a reset', async () => {
  const outcome = await runWithAnswer(socket => {
    socket.write(`${head}\r\nbo`, () => {
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  });
  assert.equal(outcome.end, UpstreamEnd.Broken);
});

test('a reset that is reported as a regular end is detected by a write', async () => {
  // Node may report the end first and the reset on the next write only.
  const outcome = await runWithAnswer(socket => {
    const write = net.Socket.prototype.write;
    net.Socket.prototype.write = function (
      this: net.Socket,
      ...args: unknown[]
    ): boolean {
      net.Socket.prototype.write = write;
      const done = args.at(-1) as (error: Error) => void;
      queueMicrotask(() => done(new Error('ECONNRESET')));
      return false;
    } as typeof write;
    write.call(socket, `${head}\r\nbo`);
    socket.end();
  });
  assert.equal(outcome.end, UpstreamEnd.Broken);
});

test('the answer to another request is broken', async () => {
  const outcome = await runWithAnswer(socket => {
    socket.end('HTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 0\r\n\r\n');
  });
  assert.equal(outcome.end, UpstreamEnd.Broken);
});

test('an answer that is not HTTP is broken', async () => {
  const outcome = await runWithAnswer(socket => {
    socket.end('garbage\r\n\r\n');
  });
  assert.equal(outcome.end, UpstreamEnd.Broken);
});

test('a refused connection ends as not sent', async () => {
  const server = net.createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  const outcome = await send(`127.0.0.1:${port}`);
  assert.equal(outcome.end, UpstreamEnd.NotSent);
});

test('an answer without Content-Length is read to its end by a slow reader', async () => {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`${head}\r\n`);
      socket.end(Buffer.alloc(bodyBytes, 'x'));
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  let bytes = 0;
  const end = await new Promise<UpstreamEnd>(resolve => {
    const upstream = new Upstream(makeRequest(`127.0.0.1:${port}`), codec, {
      handleAnswer: () => undefined,
      handleChunk: chunk => {
        bytes += chunk.length;
        upstream.stopReading();
        setTimeout(() => upstream.resumeReading(), readerMilliseconds);
        return undefined;
      },
      handleEnd: resolve,
    });
  });
  server.close();
  assert.deepEqual({end, bytes}, {end: UpstreamEnd.Complete, bytes: bodyBytes});
});
