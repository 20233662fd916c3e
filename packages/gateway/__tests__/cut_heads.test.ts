import assert from 'node:assert/strict';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {test, type TestContext} from 'node:test';
import {UnframedVerdict} from '@zinniaspindle/decisions';
import {exchangeCodec} from '../../../platform/src/exchange_codec.js';
import {Upstream, UpstreamEnd} from '../src/requests/upstream.js';

/** How an endpoint ends a connection in the middle of a head. */
enum CutBy {
  /** It sends no more, and reads on. */
  HalfClose = 'half close',
  Close = 'close',
  Reset = 'reset',
}

/** Time for bytes to arrive before their connection is reset. */
const arrivalMilliseconds = 5;

const head =
  'HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\nServer-Load: 0.31\r\n';
const framings = [
  'Content-Length: 12\r\n',
  'Transfer-Encoding: chunked\r\n',
  '',
];

interface Outcome {
  readonly end: UpstreamEnd;
  /** Whether the listener got the head of an answer. */
  readonly hasAnswer: boolean;
}

/** Sends a request to an address. */
function send(address: string, method: string): Promise<Outcome> {
  return new Promise(resolve => {
    let hasAnswer = false;
    const upstream = new Upstream(
      {
        ...{address, method, path: '/', attemptId: 'r1', canRunAgain: true},
        headers: ['Host', 'x', 'Connection', 'close'],
        body: Buffer.alloc(0),
        deadline: performance.now() + 2000,
        verifyEnd: () => Promise.resolve(UnframedVerdict.Whole),
      },
      exchangeCodec,
      {
        handleAnswer: () => {
          hasAnswer = true;
        },
        handleChunk: () => undefined,
        handleEnd: end => resolve({end, hasAnswer}),
      },
    );
    assert.ok(upstream);
  });
}

/** Starts an endpoint that writes a text and ends each connection. */
async function startEndpoint(
  context: TestContext,
  getText: () => string,
  cutBy: CutBy,
): Promise<string> {
  const server = net.createServer({allowHalfOpen: true}, socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(getText());
      if (cutBy === CutBy.HalfClose) socket.end();
      else if (cutBy === CutBy.Close) socket.end(() => socket.destroy());
      else setTimeout(() => socket.resetAndDestroy(), arrivalMilliseconds);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

for (const cutBy of Object.values(CutBy)) {
  test(`a head that is cut at any byte by a ${cutBy} is no answer`, async context => {
    let text = '';
    const address = await startEndpoint(context, () => text, cutBy);
    for (const framing of framings) {
      const whole = `${head}${framing}\r\n`;
      for (let length = 0; length < whole.length; length += 1) {
        text = whole.slice(0, length);
        for (const method of ['GET', 'POST']) {
          const outcome = await send(address, method);
          const shown = `${method}, cut after ${JSON.stringify(text)}`;
          assert.equal(outcome.end, UpstreamEnd.Broken, shown);
          assert.ok(!outcome.hasAnswer, shown);
        }
      }
    }
  });
}

test('a head with a line or a status that cannot be sent on is no answer', async context => {
  const seal = 'Attempt-Id: r1\r\nResponse-Seal: s\r\nContent-Length: 0\r\n';
  const heads = [
    `HTTP/1.1 200 OK\r\n${seal}Server Load: 0.31\r\n\r\n`,
    `HTTP/1.1 200 OK\r\n${seal}Server-Load: \u0001\r\n\r\n`,
    `HTTP/1.1 000 OK\r\n${seal}\r\n`,
    `HTTP/1.1 099 OK\r\n${seal}\r\n`,
    `HTTP/1.1 101 Switching Protocols\r\n${seal}\r\n`,
    `HTTP/1.1 600 OK\r\n${seal}\r\n`,
    `HTTP/1.1 999 OK\r\n${seal}\r\n`,
  ];
  let text = '';
  const address = await startEndpoint(context, () => text, CutBy.HalfClose);
  for (text of heads) {
    const outcome = await send(address, 'GET');
    assert.equal(outcome.end, UpstreamEnd.Broken, text);
    assert.ok(!outcome.hasAnswer, text);
  }
});
