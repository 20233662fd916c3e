import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import {test, type TestContext} from 'node:test';
import {hasLeft} from '../src/requests/has_left.js';

const blockedMilliseconds = 60;

/** Does nothing else for a while, as a VM without processor time. */
function waitBlocking(): void {
  const until = performance.now() + blockedMilliseconds;
  while (performance.now() < until);
}

/** Sends a request, and calls a function before the server has read it. */
async function sendBefore(
  context: TestContext,
  handle: (caller: net.Socket) => void,
): Promise<boolean> {
  const asked = new Promise<boolean>(resolve => {
    const server = http.createServer(request => {
      void hasLeft(request.socket).then(resolve);
    });
    context.after(() => {
      server.close();
      server.closeAllConnections();
    });
    server.listen(0, '127.0.0.1', () => {
      const {port} = server.address() as net.AddressInfo;
      const caller = net.connect(port, '127.0.0.1', () => {
        caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
        handle(caller);
        waitBlocking();
      });
      caller.on('error', () => undefined);
      context.after(() => caller.destroy());
    });
  });
  return asked;
}

// Guards against requests that are sent on although their callers left before a VM
// without processor time read them.
test('a caller that closed before its request was read has left', async context => {
  assert.equal(await sendBefore(context, caller => caller.end()), true);
});

test('a caller that waits for its answer has not left', async context => {
  assert.equal(await sendBefore(context, () => undefined), false);
});
