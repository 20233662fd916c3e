import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import type {IntakeExcess} from '@zinniaspindle/decisions';
import {FramingBound} from '../src/intake/framing_bound.js';

const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const bodyBytes = 300_000;

/** Reads an answer of some bytes; gives the length of its body, and its excess. */
async function readAnswer(context: TestContext, bytes: string) {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(bytes));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  const {port} = server.address() as AddressInfo;
  const request = http.request({host: '127.0.0.1', port, agent: false});
  context.after(() => request.destroy());
  return new Promise<{length: number; excess?: IntakeExcess}>(resolve => {
    let length = 0;
    const framing = new FramingBound(request, excess => {
      resolve({length, excess});
    });
    request.on('error', () => undefined);
    request.on('response', response => {
      response.on('data', (chunk: Buffer) => {
        framing.addBody(chunk.length);
        length += chunk.length;
      });
      response.on('end', () => resolve({length}));
    });
    request.end();
  });
}

test('a body in chunks of one byte each is within the bound', async context => {
  const bytes = `${head}${'1\r\nx\r\n'.repeat(bodyBytes)}0\r\n\r\n`;
  const {length, excess} = await readAnswer(context, bytes);
  assert.deepEqual(excess, undefined);
  assert.equal(length, bodyBytes);
});

test('a body in one large chunk is within the bound', async context => {
  const size = bodyBytes.toString(16);
  const bytes = `${head}${size}\r\n${'x'.repeat(bodyBytes)}\r\n0\r\n\r\n`;
  const {length, excess} = await readAnswer(context, bytes);
  assert.deepEqual(excess, undefined);
  assert.equal(length, bodyBytes);
});

test('the size of a chunk without end is not', async context => {
  const {excess} = await readAnswer(context, head + '0'.repeat(bodyBytes));
  assert.ok(excess !== undefined && excess.amount > excess.limit);
});
