import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Result} from 'true-myth';
import {EraWatch} from '../src/following/era_watch.js';
import {Metrics} from '../src/log/metrics.js';
import type {Store} from '../src/ports/index.js';
import {AddressPublisher} from '../src/root/address_publisher.js';

/** A publisher in virtual time, with the spread of a VM. */
function makePublisher(spread: number, live = 3) {
  const clock = {now: 0};
  const eras = new EraWatch(() => undefined);
  eras.acceptAnswer(1);
  const appendedAt: number[] = [];
  const readAt: number[] = [];
  const store = {
    readNewest: () => {
      readAt.push(clock.now);
      const records = [{key: '10.0.0.2:8229', value: undefined, offset: 0}];
      return Promise.resolve(Result.ok({records, next: 1, era: eras.known}));
    },
    appendRecord: () => {
      appendedAt.push(clock.now);
      return Promise.resolve(Result.ok({era: eras.known}));
    },
  } as Partial<Store> as Store;
  const added: string[] = [];
  const peers = {live};
  const mesh = {
    countLive: () => peers.live,
    addAddress: (address: string) => void added.push(address),
  };
  const publisher = new AddressPublisher(
    store,
    eras,
    mesh,
    new Metrics(),
    'vm-1',
    '10.0.0.1:8229',
    () => clock.now,
    () => spread,
  );
  const runUntil = async (end: number, rank: number) => {
    for (; clock.now < end; clock.now += 500) {
      publisher.poll(rank);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  return {eras, appendedAt, readAt, added, peers, runUntil};
}

test('an address is published again once in each era, spread over time', async () => {
  const starts: number[] = [];
  for (const spread of [0, 0.5, 0.99]) {
    const {eras, appendedAt, runUntil} = makePublisher(spread);
    await runUntil(5000, 0);
    assert.deepEqual(appendedAt, [0]);
    eras.acceptFromPeer(2, 'vm-2');
    await runUntil(20_000, 9);
    assert.equal(appendedAt.length, 2);
    starts.push(appendedAt[1]!);
  }
  assert.equal(new Set(starts).size, 3);
});

test('a VM that published nothing does not publish because of an era', async () => {
  const {eras, appendedAt, runUntil} = makePublisher(0);
  eras.acceptFromPeer(2, 'vm-2');
  await runUntil(10_000, 9);
  assert.deepEqual(appendedAt, []);
});

// Guards against a VM that all others have forgotten, and whose seeds are gone.
test('a VM that reaches no peer reads the published addresses again', async () => {
  const {readAt, added, peers, runUntil} = makePublisher(0, 3);
  await runUntil(5000, 0);
  assert.deepEqual(readAt, []);
  peers.live = 0;
  await runUntil(26_000, 0);
  assert.deepEqual(readAt, [5000, 15_000, 25_000]);
  assert.deepEqual(new Set(added), new Set(['10.0.0.2:8229']));
  peers.live = 1;
  await runUntil(60_000, 0);
  assert.equal(readAt.length, 3);
});
