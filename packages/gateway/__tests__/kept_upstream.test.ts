import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {test, type TestContext} from 'node:test';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {UnframedVerdict} from '@zinniaspindle/decisions';
import {Result} from 'true-myth';
import {openDirect, type OpenConnection} from '../src/links/open_connection.js';
import type {EndpointAnswer, ExchangeCodec} from '../src/ports/index.js';
import {
  Upstream,
  UpstreamEnd,
  type UpstreamListener,
  type UpstreamRequest,
} from '../src/requests/upstream.js';
import {KeptBench, RawEndpoint, type RawRequest} from './raw_endpoint.js';

const codec = {
  decodeAnswer: ({statusCode = 0, headers}) => ({
    status: statusCode,
    attemptId: headers['attempt-id'] as string | undefined,
    hasSeal: true,
    isNotRun: headers['not-executed'] !== undefined,
    isMisdirected: false,
    isLeaving: headers['server-leaving'] === '1',
    pauseMilliseconds: headers['retry-after'] === undefined ? undefined : 1000,
    endpointId: undefined,
    failedAddress: undefined,
    forwardedHeaders: [],
  }),
} as Partial<ExchangeCodec> as ExchangeCodec;

interface Outcome {
  readonly end: UpstreamEnd;
  readonly detail: string;
  readonly body: string;
  readonly heads: readonly EndpointAnswer[];
}

interface SendOptions {
  readonly handleChunk?: (bytes: number, upstream: Upstream) => void;
  readonly body?: Buffer;
}

/** Sends requests to a raw endpoint over connections that are kept. */
class Sender {
  private count = 0;

  constructor(
    readonly endpoint: RawEndpoint,
    readonly bench: KeptBench,
  ) {}

  send(options: SendOptions = {}): Promise<Outcome> {
    return new Promise(resolve => this.start(options, resolve));
  }

  start(
    {handleChunk, body}: SendOptions,
    handleEnd: (outcome: Outcome) => void,
  ): Upstream {
    this.count += 1;
    const id = `r${this.count}`;
    const keeper = this.bench.makeKeeper(id);
    const request: UpstreamRequest = {
      address: this.bench.address,
      method: body === undefined ? 'GET' : 'POST',
      path: '/',
      headers: [
        ...['Host', 'x', 'Attempt-Id', id, 'Connection', 'keep-alive'],
        ...(body === undefined ? [] : ['Content-Length', String(body.length)]),
      ],
      body: body ?? Buffer.alloc(0),
      attemptId: id,
      canRunAgain: true,
      deadline: performance.now() + 2000,
      verifyEnd: () => Promise.resolve(UnframedVerdict.Whole),
      keeper,
    };
    const received: Buffer[] = [];
    const heads: EndpointAnswer[] = [];
    const listener: UpstreamListener = {
      handleHead: answer => void heads.push(answer),
      handleAnswer: () => undefined,
      handleChunk: chunk => {
        received.push(chunk);
        handleChunk?.(chunk.length, upstream);
        return undefined;
      },
      handleEnd: (end, detail) => {
        const text = Buffer.concat(received).toString();
        handleEnd({end, detail, body: text, heads});
      },
    };
    const {address} = this.bench;
    const kept = keeper.take();
    const openConnection: OpenConnection = handle => {
      if (kept === undefined) return openDirect(address, handle);
      handle(Result.ok(kept));
      return () => undefined;
    };
    const upstream = new Upstream(
      {...request, openConnection},
      codec,
      listener,
    );
    return upstream;
  }
}

function makeAnswer(id: string, headers = '', status = '200 OK'): string {
  const body = `answer to ${id}`;
  const head = `HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\n${headers}`;
  return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
}

async function openSender(
  context: TestContext,
  answer: (request: RawRequest) => void,
): Promise<Sender> {
  const endpoint = new RawEndpoint(answer);
  const bench = new KeptBench(await endpoint.open());
  context.after(() => {
    bench.kept.close();
    endpoint.close();
  });
  return new Sender(endpoint, bench);
}

/** Answers on a new connection regularly, and by the function given on a kept one. */
function answerKept(
  answer: (request: RawRequest) => void,
): (request: RawRequest) => void {
  return request => {
    const {socket, attemptId} = request;
    if (request.request === 1) socket.write(makeAnswer(attemptId));
    else answer(request);
  };
}

async function expectAnswer(sender: Sender, id: string): Promise<void> {
  const {end, body, detail} = await sender.send();
  assert.equal(end, UpstreamEnd.Complete, detail);
  assert.equal(body, `answer to ${id}`);
}

// Listeners that stay would let the next request see events of an earlier one.
test('a connection serves many requests and collects no listeners', async context => {
  const sockets = new Set<unknown>();
  const sender = await openSender(context, ({socket, attemptId}) => {
    sockets.add(socket);
    socket.write(makeAnswer(attemptId));
  });
  await expectAnswer(sender, 'r1');
  const countListeners = () => {
    const keeper = sender.bench.makeKeeper('x');
    const {socket} = keeper.take()!;
    const events = ['data', 'end', 'close', 'error', 'free', 'drain'];
    const counts = events.map(event => socket.listenerCount(event));
    return {socket, counts};
  };
  const {socket: first, counts: before} = countListeners();
  first.destroy();
  for (let i = 2; i <= 40; i += 1) await expectAnswer(sender, `r${i}`);
  assert.equal(sockets.size, 2);
  const {socket, counts} = countListeners();
  assert.deepEqual(counts, before);
  assert.equal(counts[0], 0);
  socket.destroy();
});

test('a chunked answer with a body, an interim head and a request body is kept', async context => {
  const sender = await openSender(context, ({socket, attemptId}) => {
    socket.write('HTTP/1.1 103 Early\r\n\r\n');
    const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\n`;
    socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`);
    setTimeout(() => socket.write('0\r\n\r\n'), 5);
  });
  for (let i = 0; i < 3; i += 1) {
    const {end, body} = await sender.send({body: Buffer.from('question')});
    assert.equal(end, UpstreamEnd.Complete);
    assert.equal(body, 'hello');
  }
  assert.equal(sender.endpoint.connections, 1);
});

/** Expects that the request on the kept connection breaks, and the next one doesn't. */
async function expectBroken(sender: Sender): Promise<Outcome> {
  await expectAnswer(sender, 'r1');
  const outcome = await sender.send();
  assert.equal(outcome.end, UpstreamEnd.Broken);
  assert.equal(outcome.body, '');
  // Sent once: whether it has run is for its attempts to decide.
  assert.equal(sender.endpoint.requests.length, 2);
  await expectAnswer(sender, 'r3');
  assert.equal(sender.endpoint.connections, 2);
  return outcome;
}

test('a late second copy of an answer does not reach the next caller', async context => {
  const sender = await openSender(
    context,
    answerKept(({socket}) => socket.write(makeAnswer('r1'))),
  );
  await expectBroken(sender);
});

// What it states was said earlier, and perhaps to a request of another kind.
for (const id of ['r1', '']) {
  test(`a late refusal of an earlier request refuses and pauses nothing: id "${id}"`, async context => {
    const headers =
      'Not-Executed: 1\r\nRetry-After: 1\r\nServer-Leaving: 1\r\n';
    const refusal = makeAnswer(id, headers, '503 Busy');
    const sender = await openSender(
      context,
      answerKept(({socket}) => {
        socket.write(refusal.replace('Attempt-Id: \r\n', ''));
      }),
    );
    const {heads} = await expectBroken(sender);
    assert.equal(heads.length, 0);
  });
}

const endings: Readonly<Record<string, (request: RawRequest) => void>> = {
  'ends its connection': ({socket}) => socket.end(),
  'resets its connection': ({socket}) => socket.resetAndDestroy(),
  'sends bytes of no answer': ({socket}) => socket.write('\0\0rest\r\n\r\n'),
};

for (const [name, answer] of Object.entries(endings)) {
  test(`an endpoint that ${name} as a request comes breaks it, and no other`, async context => {
    const sender = await openSender(context, answerKept(answer));
    await expectBroken(sender);
  });
}

test('an answer that is cut off on a kept connection is broken', async context => {
  const sender = await openSender(
    context,
    answerKept(({socket, attemptId}) => {
      socket.end(makeAnswer(attemptId).slice(0, -3));
    }),
  );
  await expectAnswer(sender, 'r1');
  const {end} = await sender.send();
  assert.equal(end, UpstreamEnd.Broken);
  assert.equal(sender.endpoint.requests.length, 2);
});

for (const extra of [
  'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
  '\0\0x\r\n',
]) {
  test(`bytes right after an answer end its connection: ${JSON.stringify(extra)}`, async context => {
    const sender = await openSender(context, ({socket, attemptId}) => {
      socket.write(makeAnswer(attemptId) + extra);
    });
    await expectAnswer(sender, 'r1');
    await expectAnswer(sender, 'r2');
    assert.equal(sender.endpoint.connections, 2);
    assert.equal(sender.bench.kept.count(), 0);
  });
}

// A slow reader is behind its connection, so that the bytes come before the end.
test('bytes after an answer that is still being read end its connection', async context => {
  const body = 'x'.repeat(100_000);
  const sender = await openSender(context, ({socket, attemptId}) => {
    const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\n`;
    socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
    setTimeout(() => socket.write(makeAnswer(attemptId)), 30);
  });
  const {end, body: received} = await sender.send({
    handleChunk: (_bytes, upstream) => {
      upstream.stopReading();
      setTimeout(() => upstream.resumeReading(), 30);
    },
  });
  assert.equal(end, UpstreamEnd.Complete);
  assert.equal(received, body);
  await waitMilliseconds(50);
  assert.equal(sender.bench.kept.count(), 0);
});

test('reading that is stopped stops the endpoint on a kept connection too', async context => {
  const piece = Buffer.alloc(65_536, 'x');
  const pieces = 400;
  let written = 0;
  const sender = await openSender(
    context,
    answerKept(({socket, attemptId}) => {
      const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\n`;
      socket.write(`${head}Content-Length: ${piece.length * pieces}\r\n\r\n`);
      const write = (): void => {
        written += 1;
        if (written < pieces) socket.write(piece, write);
        else socket.write(piece);
      };
      write();
    }),
  );
  await expectAnswer(sender, 'r1');
  let isStopped = false;
  let bytes = 0;
  const done = new Promise<Outcome>(resolve => {
    sender.start(
      {
        handleChunk: (count, upstream) => {
          bytes += count;
          if (isStopped) return;
          isStopped = true;
          upstream.stopReading();
          setTimeout(() => {
            assert.ok(written < pieces, `${written} pieces were taken`);
            upstream.resumeReading();
          }, 100);
        },
      },
      resolve,
    );
  });
  const {end} = await done;
  assert.equal(end, UpstreamEnd.Complete);
  assert.equal(bytes, piece.length * pieces);
  assert.equal(sender.endpoint.connections, 1);
});

// Endpoints drop a request when its connection closes.
test('a cancelled request closes its connection', async context => {
  const sender = await openSender(
    context,
    answerKept(() => undefined),
  );
  await expectAnswer(sender, 'r1');
  const upstream = sender.start({}, () => assert.fail('it was cancelled'));
  await waitMilliseconds(20);
  upstream.cancel();
  await waitMilliseconds(20);
  assert.equal(sender.endpoint.sockets.size, 0);
  assert.equal(sender.bench.kept.count(), 0);
});

const dropped: Readonly<Record<string, (request: RawRequest) => void>> = {
  'says that it closes': ({socket, attemptId}) =>
    socket.write(makeAnswer(attemptId, 'Connection: close\r\n')),
  leaves: ({socket, attemptId}) =>
    socket.write(makeAnswer(attemptId, 'Server-Leaving: 1\r\n')),
  pauses: ({socket, attemptId}) =>
    socket.write(makeAnswer(attemptId, 'Retry-After: 1\r\n', '503 Busy')),
  'has not run it': ({socket, attemptId}) =>
    socket.write(makeAnswer(attemptId, 'Not-Executed: 1\r\n', '503 Busy')),
  'ends its answer with the connection': ({socket, attemptId}) =>
    socket.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\n\r\nall`),
};

for (const [name, answer] of Object.entries(dropped)) {
  test(`the connection of an endpoint that ${name} is not kept`, async context => {
    const sender = await openSender(context, answer);
    const {end} = await sender.send();
    assert.equal(end, UpstreamEnd.Complete);
    await waitMilliseconds(20);
    assert.equal(sender.bench.kept.count(), 0);
    assert.equal(sender.endpoint.sockets.size, 0);
  });
}

test('the bound on the size of a head holds on a kept connection', async context => {
  const sender = await openSender(
    context,
    answerKept(({socket, attemptId}) => {
      const value = 'x'.repeat(300_000);
      socket.write(makeAnswer(attemptId, `Long: ${value}\r\n`));
    }),
  );
  await expectAnswer(sender, 'r1');
  const {end, detail} = await sender.send();
  assert.equal(end, UpstreamEnd.Broken);
  assert.match(detail, /head/i);
});
