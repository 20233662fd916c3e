import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EventFields} from '../src/log/event_log.js';
import {
  EndReason,
  EndWatch,
  type BrokenAttempt,
  type EndedEndpoint,
} from '../src/fleet/end_watch.js';

const endpoint = {id: 'e1', bornAt: 7};

function makeAttempt(request: string, sentAt = 0): BrokenAttempt {
  return {request, traits: ['p1', 'p2'], sentAt};
}

function createWatch() {
  const clock = {now: 100};
  const lines: EventFields[] = [];
  const ended: EndedEndpoint[] = [];
  const watch = new EndWatch(
    (_event, fields) => lines.push(fields),
    () => clock.now,
    one => ended.push(one),
  );
  return {clock, lines, ended, watch};
}

test('an end names the requests that broke before it was known', () => {
  const {clock, lines, ended, watch} = createWatch();
  watch.recordBreak(endpoint, 's', makeAttempt('r1'));
  clock.now += 5;
  watch.recordEnd(endpoint, 's', EndReason.NotListening);
  assert.equal(ended[0]?.endedAt, 100);
  assert.equal(lines[0]?.['requests'], 'r1[p1,p2]');
});

test('a request that breaks after the end is known is reported too', () => {
  const {ended, watch} = createWatch();
  watch.recordEnd(endpoint, 's', EndReason.NotListening);
  watch.recordBreak(endpoint, 's', makeAttempt('r1'));
  assert.deepEqual(
    ended.map(({attempts}) => attempts.map(({request}) => request)),
    [['r1']],
  );
});

test('a broken connection alone is no end', () => {
  const {ended, lines, watch} = createWatch();
  watch.recordBreak(endpoint, 's', makeAttempt('r1'));
  assert.equal(ended.length + lines.length, 0);
});

test('an end does not explain requests that broke long before it', () => {
  const {clock, ended, watch} = createWatch();
  watch.recordBreak(endpoint, 's', makeAttempt('r1'));
  clock.now += 3001;
  watch.recordEnd(endpoint, 's', EndReason.NotListening);
  assert.equal(ended.length, 0);
});

test('an end is reported once, however often it is seen', () => {
  const {ended, watch} = createWatch();
  watch.recordBreak(endpoint, 's', makeAttempt('r1'));
  for (let i = 0; i < 3; i += 1) {
    watch.recordEnd(endpoint, 's', EndReason.NotListening);
  }
  assert.equal(ended.length, 1);
});

test('another incarnation is another endpoint', () => {
  const {ended, watch} = createWatch();
  watch.recordBreak(endpoint, 's', makeAttempt('r1'));
  watch.recordEnd({id: 'e1', bornAt: 8}, 's', EndReason.NotListening);
  assert.equal(ended.length, 0);
});
