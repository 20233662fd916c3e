import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {test} from 'node:test';
import type {DemandRow} from '@zinniaspindle/decisions';
import {encodeFrame} from '@zinniaspindle/framing';
import {reservePort} from '@zinniaspindle/stand-ins';
import {LoadTracker} from '../src/fleet/load_tracker.js';
import {PeerMessageKind} from '../src/peers/messages.js';
import {PeerMesh} from '../src/peers/peer_mesh.js';

const greeting = {
  ...{kind: PeerMessageKind.Hello, vm: 'vm-1', startedAt: 1, known: []},
  ...{peerAddress: '127.0.0.1:1', callerAddress: '127.0.0.1:1'},
  linkMegabits: 1,
};
/** A heartbeat as the build before sends it, without its optional items. */
const heartbeat = [1, false, [], [], true, 5, [-1]];
const silenceMilliseconds = 60_000;

// Rows that outlive their peer would have room left free for nobody.
test('rows of heartbeats are taken over and dropped with a silent peer', async context => {
  const calls: (readonly [vm: string, rows: readonly DemandRow[]])[] = [];
  const port = await reservePort();
  let now = 0;
  const mesh = new PeerMesh(
    {
      ...{vm: 'vm-0', startedAt: 1, linkMegabits: 1},
      ...{peerAddress: `127.0.0.1:${port}`, callerAddress: '127.0.0.1:1'},
    },
    new LoadTracker(),
    () => undefined,
    () => undefined,
    () => now,
    undefined,
    {
      setPeer: (vm, rows) => calls.push([vm, rows]),
      removePeer: vm => calls.push([vm, []]),
    },
  );
  await mesh.open({host: '127.0.0.1', port}, []);
  context.after(() => mesh.close());
  const socket = net.connect(port, '127.0.0.1');
  await once(socket, 'connect');
  context.after(() => socket.destroy());
  const row = [7, 1, 2, 3, 4, 5];
  const malformed = [7, 2, -1, 0, 0, 0];
  socket.write(encodeFrame(greeting));
  socket.write(encodeFrame([...heartbeat, [], [row, malformed]]));
  socket.write(encodeFrame(heartbeat));
  for (let i = 0; i < 200 && calls.length < 2; i += 1) {
    await waitMilliseconds(10);
  }
  now += silenceMilliseconds;
  mesh.checkSilence();
  assert.deepEqual(calls, [
    ['vm-1', [row]],
    ['vm-1', []],
    ['vm-1', []],
  ]);
});
