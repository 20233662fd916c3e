import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {
  createLostAddresses,
  createReopening,
  recordLostAddress,
  recordPeerSilence,
  takeDueAddress,
  takeReopening,
} from '@zinniaspindle/decisions';
import {encodeFrame, FrameReader} from '@zinniaspindle/framing';
import {reservePort} from '@zinniaspindle/stand-ins';
import {PeerMessageKind, PeerPhase} from '../src/peers/messages.js';
import {MeshFleet} from './mesh_fleet.js';

// Connections between VMs that go silent for good, while new ones work, and VMs that
// do not hear of each other for longer than they remember peers.

const vmCount = 4;
/** VMs are in touch again after this time (`stabilityWindowMs`). */
const stabilityMilliseconds = 3000;
/** Longer than a silent peer is remembered. */
const longMilliseconds = 35_000;

async function startFleet(context: TestContext, vms = vmCount) {
  const fleet = new MeshFleet();
  context.after(() => fleet.close());
  for (let i = 0; i < vms; i += 1) await fleet.addVm();
  assert.ok(await fleet.waitForAll(stabilityMilliseconds), 'not started');
  return fleet;
}

/** Waits until VMs have found that others are silent. */
async function waitForLoss(fleet: MeshFleet): Promise<void> {
  const before = fleet.countLive();
  for (let i = 0; i < 100 && fleet.countLive() >= before; i += 1) {
    await waitMilliseconds(20);
  }
  assert.ok(fleet.countLive() < before, 'nobody is silent');
}

// Guards against VMs that lose one another for good (case 8 of the second review).
test('VMs hear one another again after all links went silent', async context => {
  const fleet = await startFleet(context);
  for (let round = 0; round < 3; round += 1) {
    assert.ok(fleet.injectSilence(() => true) > 0);
    await waitForLoss(fleet);
    assert.ok(await fleet.waitForAll(stabilityMilliseconds));
  }
  await fleet.runFor(longMilliseconds);
  assert.ok(await fleet.waitForAll(stabilityMilliseconds));
});

// A sender cannot tell that its link is silent: its peer is still heard.
test('a link that is silent one way is opened again', async context => {
  const fleet = await startFleet(context);
  const silent = fleet.injectSilence((from, to) => from < to);
  assert.equal(silent, (vmCount * (vmCount - 1)) / 2);
  await waitForLoss(fleet);
  assert.ok(await fleet.waitForAll(stabilityMilliseconds));
});

test('the links of one VM are opened again after they went silent', async context => {
  const fleet = await startFleet(context);
  for (const vm of ['vm-0', 'vm-3']) {
    fleet.injectSilence((from, to) => from === vm || to === vm);
    await waitForLoss(fleet);
    assert.ok(await fleet.waitForAll(stabilityMilliseconds));
  }
});

// Guards against VMs that are forgotten for good, since seeds and published addresses
// were read at the start only.
test('a VM that stood still for longer than peers are remembered is found again', async context => {
  const fleet = await startFleet(context);
  for (const vm of [fleet.vms[0]!, fleet.vms[3]!]) {
    vm.isFrozen = true;
    const isFrozen = (from: string, to: string) =>
      from === vm.name || to === vm.name;
    fleet.isCut = isFrozen;
    fleet.injectSilence(isFrozen);
    await fleet.runFor(longMilliseconds);
    assert.equal(fleet.vms[1]!.mesh.listPresent().length, vmCount - 2);
    vm.isFrozen = false;
    fleet.isCut = () => false;
    assert.ok(await fleet.waitForAll(stabilityMilliseconds));
  }
});

test('halves that forgot each other find each other again', async context => {
  const fleet = await startFleet(context);
  const isLow = (vm: string) => vm < 'vm-2';
  fleet.isCut = (from, to) => isLow(from) !== isLow(to);
  fleet.injectSilence(fleet.isCut);
  await fleet.runFor(longMilliseconds);
  assert.deepEqual(fleet.listLive(fleet.vms[0]!), ['vm-1']);
  fleet.isCut = () => false;
  assert.ok(await fleet.waitForAll(stabilityMilliseconds));
});

test('a seed that starts late is found', async context => {
  const fleet = new MeshFleet();
  context.after(() => fleet.close());
  const lateAddress = `127.0.0.1:${await reservePort()}`;
  await fleet.addVm([lateAddress]);
  await fleet.runFor(longMilliseconds);
  await fleet.addVmAt(lateAddress, []);
  // Its address is tried every 5 s.
  await fleet.runFor(2 * stabilityMilliseconds);
  assert.ok(await fleet.waitForAll(stabilityMilliseconds));
});

test('a VM at the address of one that has ended counts as itself', async context => {
  const fleet = await startFleet(context);
  const ended = fleet.vms[1]!;
  ended.isFrozen = true;
  ended.mesh.close();
  const {address} = ended;
  const successor = await fleet.addVmAt(address, [fleet.vms[0]!.address]);
  await fleet.runFor(longMilliseconds);
  for (const vm of fleet.vms) {
    if (vm === ended || vm === successor) continue;
    const live = fleet.listLive(vm);
    assert.ok(live.includes(successor.name), `${vm.name}: ${live.join(' ')}`);
    assert.ok(!live.includes(ended.name), `${vm.name}: ${live.join(' ')}`);
  }
});

test('a VM that left is not tried again', async context => {
  const fleet = await startFleet(context);
  const left = fleet.vms[3]!;
  left.phase = PeerPhase.Leaving;
  await waitMilliseconds(500);
  left.isFrozen = true;
  left.mesh.close();
  await fleet.runFor(longMilliseconds);
  const opened = fleet.countOpened(left.address);
  await fleet.runFor(longMilliseconds);
  assert.equal(fleet.countOpened(left.address), opened);
});

/** Connects to a VM as a peer of the build before; resolves once it is greeted. */
async function openOldPeer(context: TestContext, fleet: MeshFleet) {
  const vm = fleet.vms[0]!;
  const port = await reservePort();
  const peerAddress = `127.0.0.1:${port}`;
  const greetings: unknown[] = [];
  const server = net.createServer(socket => {
    const reader = new FrameReader();
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      for (const message of reader.accept(chunk).unwrapOr([])) {
        const kind = (message as {kind?: unknown}).kind;
        if (kind === PeerMessageKind.Hello) greetings.push(message);
      }
    });
  });
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  const greeting = {
    ...{kind: PeerMessageKind.Hello, vm: 'old', startedAt: 1, known: []},
    ...{peerAddress, callerAddress: '127.0.0.1:1', linkMegabits: 1},
  };
  const openSocket = () => {
    const [host, ownPort] = vm.address.split(':');
    const socket = net.connect(Number(ownPort), host);
    context.after(() => socket.destroy());
    socket.on('error', () => undefined);
    socket.write(encodeFrame(greeting));
    return socket;
  };
  const socket = openSocket();
  while (greetings.length === 0) await waitMilliseconds(20);
  return {vm, greetings, openSocket, socket, greeting};
}

/** A heartbeat of the build before. */
const oldHeartbeat = encodeFrame([1, false, [], [], true, 5, [-1]]);

test('the link to a peer of the build before stays open while it sends', async context => {
  const fleet = await startFleet(context, 2);
  const {greetings, socket} = await openOldPeer(context, fleet);
  for (let i = 0; i < 40; i += 1) {
    socket.write(oldHeartbeat);
    await waitMilliseconds(10);
    await fleet.runFor(500);
  }
  assert.equal(greetings.length, 1);
  assert.ok(fleet.listLive(fleet.vms[0]!).includes('old'));
});

// An older build greets a VM again only after it has heard nothing of it for 30 s.
test('a lost peer of the build before gets no messages for 30 s', async context => {
  const fleet = await startFleet(context, 2);
  const {greetings} = await openOldPeer(context, fleet);
  await fleet.runFor(longMilliseconds);
  const {length} = greetings;
  await fleet.runFor(30_000);
  assert.equal(greetings.length, length);
  await fleet.runFor(longMilliseconds);
  assert.ok(greetings.length > length);
});

test('the end of an earlier connection does not cost a peer that has a newer one', async context => {
  const fleet = await startFleet(context, 2);
  const {vm, greeting, openSocket, socket} = await openOldPeer(context, fleet);
  // With more peers a closed connection counts as a longer silence.
  for (let i = 0; i < 160; i += 1) {
    const one = {...greeting, vm: `old-${i}`, peerAddress: vm.address};
    socket.write(encodeFrame(one));
  }
  // A connection is that of the VM that greeted last on it.
  socket.write(encodeFrame(greeting));
  openSocket();
  await waitMilliseconds(100);
  const findSilence = () => {
    const peer = vm.mesh.listLive().find(one => one.vm === 'old');
    return fleet.getNow() - (peer?.lastMessageAt ?? -Infinity);
  };
  assert.ok(findSilence() < 1000);
  socket.destroy();
  await waitMilliseconds(100);
  assert.ok(findSilence() < 1000, `${findSilence()} ms`);
});

test('a connection that brings nothing for 30 s is closed', async context => {
  const fleet = await startFleet(context, 2);
  const {openSocket, socket} = await openOldPeer(context, fleet);
  const silent = openSocket();
  silent.resume();
  let isClosed = false;
  silent.once('close', () => (isClosed = true));
  for (let i = 0; i < 80; i += 1) {
    socket.write(oldHeartbeat);
    await waitMilliseconds(5);
    await fleet.runFor(500);
  }
  assert.equal(isClosed, true);
  assert.equal(socket.destroyed, false);
});

test('a link is opened again ever more seldom while its peer stays silent', () => {
  const reopening = createReopening();
  recordPeerSilence(reopening, 1000);
  const reopenedAt: number[] = [];
  for (let now = 1000; now < 31_000; now += 50) {
    if (takeReopening(reopening, now)) reopenedAt.push(now);
  }
  assert.deepEqual(reopenedAt, [1100, 2100, 4100, 8100, 16_100]);
});

test('lost addresses are tried in turn', () => {
  const lost = createLostAddresses();
  recordLostAddress(lost, 'a', true, 0);
  recordLostAddress(lost, 'b', true, 500);
  recordLostAddress(lost, 'c', false, 0);
  const taken: (string | undefined)[] = [];
  for (let now = 0; now < 8000; now += 1000) {
    taken.push(takeDueAddress(lost, now));
  }
  const expected = [undefined, 'a', 'b', undefined, undefined, undefined];
  assert.deepEqual(taken, [...expected, 'a', 'b']);
});
