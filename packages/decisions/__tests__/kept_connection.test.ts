import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  computeIdleMilliseconds,
  DropReason,
  findDropReason,
  findEndReason,
  type AnswerEnd,
} from '../src/links/index.js';

// Times are in milliseconds.

function makeEnd(changes: Partial<AnswerEnd> = {}): AnswerEnd {
  return {
    isFramed: true,
    connection: 'keep-alive',
    keepAlive: 'timeout=5',
    isUnwanted: false,
    hasExtraBytes: false,
    ...changes,
  };
}

test('a connection is dropped 0.5 s before the endpoint closes it', () => {
  assert.equal(computeIdleMilliseconds('timeout=5'), 4500);
  assert.equal(computeIdleMilliseconds('max=20, timeout=1'), 500);
  assert.equal(computeIdleMilliseconds('Timeout = "3"'), 2500);
});

test('without a time-out that can be read, it is kept for a second', () => {
  for (const text of [undefined, '', 'max=5', 'timeout=x', 'timeout=-1', ',']) {
    assert.equal(computeIdleMilliseconds(text), 1000, text);
  }
});

test('no time-out, however long, keeps a connection for long', () => {
  assert.equal(computeIdleMilliseconds('timeout=99999999999999999999'), 5000);
  assert.equal(computeIdleMilliseconds(`timeout=${'9'.repeat(400)}`), 5000);
});

test('a time-out shorter than the margin keeps no connection', () => {
  assert.equal(computeIdleMilliseconds('timeout=0'), 0);
  const end = makeEnd({keepAlive: 'timeout=0'});
  assert.equal(findEndReason(end), DropReason.Expired);
});

test('a whole answer with a stated end keeps its connection', () => {
  assert.equal(findEndReason(makeEnd()), undefined);
  const silent = makeEnd({connection: undefined, keepAlive: undefined});
  assert.equal(findEndReason(silent), undefined);
});

test('an answer that states the end of its connection drops it', () => {
  for (const connection of ['close', 'Close', 'x, close', 'close,x']) {
    assert.equal(findEndReason(makeEnd({connection})), DropReason.Closed);
  }
  assert.equal(findEndReason(makeEnd({isFramed: false})), DropReason.Closed);
});

test('bytes beyond an answer drop its connection', () => {
  const end = makeEnd({hasExtraBytes: true});
  assert.equal(findEndReason(end), DropReason.ExtraBytes);
});

test('an endpoint that leaves or pauses keeps no connection', () => {
  const end = makeEnd({isUnwanted: true});
  assert.equal(findEndReason(end), DropReason.Unwanted);
});

const idle = {address: '10.0.0.1:80', bornAt: 7, until: 1000};
const endpoint = {address: '10.0.0.1:80', bornAt: 7, isWanted: true};

test('an idle connection is used before its time only', () => {
  assert.equal(findDropReason(idle, endpoint, 999), undefined);
  assert.equal(findDropReason(idle, endpoint, 1000), DropReason.Expired);
});

test('a restarted, moved or removed endpoint loses its connections', () => {
  const {Replaced} = DropReason;
  assert.equal(findDropReason(idle, undefined, 0), Replaced);
  assert.equal(findDropReason(idle, {...endpoint, bornAt: 8}, 0), Replaced);
  const moved = {...endpoint, address: '10.0.0.2:80'};
  assert.equal(findDropReason(idle, moved, 0), Replaced);
});

test('an endpoint that is not wanted loses its connections', () => {
  const unwanted = {...endpoint, isWanted: false};
  assert.equal(findDropReason(idle, unwanted, 0), DropReason.Unwanted);
});
