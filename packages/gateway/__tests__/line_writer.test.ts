import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {test, type TestContext} from 'node:test';
import {GatewayEvent} from '@zinniaspindle/shared';
import {EventLog} from '../src/log/event_log.js';

const manyRequests = 300;
const tooManyRequests = 100_000;
/** Most that a log may hold for a reader that is blocked. */
const maxHeldBytes = 256 * 1024;
const fillerSeconds = 20;
const linesPerSecond = 100;

/** A reader of a log that can be blocked. */
class Reader {
  text = '';
  private isBlocked = false;
  private readonly waiting: (() => void)[] = [];
  readonly output = new Writable({
    highWaterMark: 1,
    decodeStrings: false,
    write: (chunk: string, _encoding, done) => {
      const accept = () => {
        this.text += chunk;
        done();
      };
      if (this.isBlocked) this.waiting.push(accept);
      else accept();
    },
  });

  stop(): void {
    this.isBlocked = true;
  }

  resume(): void {
    this.isBlocked = false;
    for (const accept of this.waiting.splice(0)) accept();
  }

  hasRequest(id: string): boolean {
    return new RegExp(`[" ]${id}[" ]`).test(this.text);
  }
}

/** Makes a log whose timers and clock the test moves. */
function makeLog({mock}: TestContext): {log: EventLog; reader: Reader} {
  mock.timers.enable({apis: ['setTimeout', 'Date']});
  const reader = new Reader();
  return {log: new EventLog('vm-1', reader.output), reader};
}

/** Logs requests as cut off; returns their ids. */
function logCutOff(log: EventLog, count: number): string[] {
  const ids: string[] = [];
  for (let index = 0; index < count; index += 1) {
    const request = `cut${index}`;
    ids.push(request);
    log.write(GatewayEvent.RequestCutOff, {
      request,
      path: '/write/b',
      ms: 5000,
      afterStopMs: -200,
      endpoint: 'c0:0-8',
      lastEventId: '79',
    });
  }
  return ids;
}

/** Moves the clock step by step, so that what timers lead to runs as well. */
async function waitSeconds({mock}: TestContext, seconds: number) {
  for (let tick = 0; tick < seconds * 10; tick += 1) {
    mock.timers.tick(100);
    await Promise.resolve();
  }
}

/** Lets what the process has queued run for some turns. */
async function waitTurns(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

test('each of several hundred requests cut at one exit is named', async t => {
  const {log, reader} = makeLog(t);
  const ids = logCutOff(log, manyRequests);
  await waitSeconds(t, 2);
  const unnamed = ids.filter(id => !reader.hasRequest(id));
  assert.deepEqual(unnamed, []);
});

test('cut requests are named although the buffer is full', async t => {
  const {log, reader} = makeLog(t);
  reader.stop();
  for (let second = 0; second < fillerSeconds; second += 1) {
    for (let line = 0; line < linesPerSecond; line += 1) {
      log.write(GatewayEvent.RequestAnswered, {
        request: `filler${second}-${line}`,
      });
    }
    await waitSeconds(t, 1);
  }
  const ids = logCutOff(log, manyRequests);
  await waitSeconds(t, 1);
  reader.resume();
  await waitSeconds(t, 1);
  const unnamed = ids.filter(id => !reader.hasRequest(id));
  assert.deepEqual(unnamed, []);
});

test('a log that is not read holds a bounded number of bytes', async t => {
  const {log, reader} = makeLog(t);
  reader.stop();
  logCutOff(log, tooManyRequests);
  await waitSeconds(t, 1);
  logCutOff(log, tooManyRequests);
  await waitSeconds(t, 1);
  reader.resume();
  await waitSeconds(t, 2);
  assert.ok(reader.text.length < maxHeldBytes, `${reader.text.length}`);
  assert.match(reader.text, /"droppedLines":\d+/);
});

test('closing a log waits for a reader that reads again', async () => {
  const reader = new Reader();
  const log = new EventLog('vm-1', reader.output);
  reader.stop();
  const ids = logCutOff(log, 3);
  let isClosed = false;
  const closed = log.close(Infinity).then(() => (isClosed = true));
  await waitTurns();
  assert.equal(isClosed, false);
  reader.resume();
  await closed;
  assert.ok(ids.every(id => reader.hasRequest(id)));
});

test('closing a log that is not read ends at its deadline', async () => {
  const reader = new Reader();
  const lost: string[] = [];
  const log = new EventLog('vm-1', reader.output, line => lost.push(line));
  reader.stop();
  logCutOff(log, manyRequests);
  const deadline = performance.now() + 50;
  await log.close(deadline);
  assert.ok(performance.now() >= deadline);
  assert.equal(lost.length, 1);
  assert.match(lost[0]!, /"event":7016,.*"lines":101}/);
});

test('closing a log whose reader is gone does not wait', async () => {
  const reader = new Reader();
  const lost: string[] = [];
  const log = new EventLog('vm-1', reader.output, line => lost.push(line));
  reader.output.destroy();
  logCutOff(log, 3);
  await log.close(Infinity);
  assert.match(lost.join(''), /"lines":3}/);
});

test('a full buffer is written out while the reader is not slow', async t => {
  const {log, reader} = makeLog(t);
  const path = '/x'.repeat(500);
  const ids = [...Array(linesPerSecond).keys()].map(index => `wide${index}`);
  for (const request of ids) {
    log.write(GatewayEvent.RequestAnswered, {request, path});
  }
  await waitSeconds(t, 1);
  const unnamed = ids.filter(id => !reader.hasRequest(id));
  assert.deepEqual(unnamed, []);
});
