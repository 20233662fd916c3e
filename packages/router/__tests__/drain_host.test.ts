import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EventLoop} from '../src/loop/event_loop.js';
import {DrainHost} from '../src/membership/drain_host.js';

const start = 1_000_000;
const stopMilliseconds = 60_000;

test('two signals before the next tick wait for what is in flight', () => {
  const exits: number[] = [];
  const drain = new DrainHost({
    loop: new EventLoop(error => assert.fail(String(error))),
    random: () => 0,
    getNow: () => start,
    report: () => undefined,
    answerTtlMilliseconds: 2000,
    announceLeaving: () => undefined,
    releaseLeases: () => undefined,
    closeListeners: () => undefined,
    handOver: () => undefined,
    answerRest: () => undefined,
    countInFlight: () => 3,
    exit: cut => exits.push(cut),
  });
  drain.startStop(start + stopMilliseconds);
  drain.startStop(start + stopMilliseconds);
  assert.deepEqual(exits, []);
});
