import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createEndpointNotices,
  isLeaving,
  recordLeaving,
} from '../src/stages/index.js';

const now = 1000;

test('an incarnation that states that it leaves does so to its end', () => {
  const notices = createEndpointNotices();
  assert.equal(isLeaving(notices, 100), false);
  assert.equal(recordLeaving(notices, 100, now), true);
  assert.equal(isLeaving(notices, 100), true);
  assert.equal(isLeaving(notices, 99), true);
});

test('a new incarnation does not leave', () => {
  const notices = createEndpointNotices();
  recordLeaving(notices, 100, now);
  assert.equal(isLeaving(notices, 101), false);
});

test('the late notice of an old incarnation does not undo a newer one', () => {
  const notices = createEndpointNotices();
  recordLeaving(notices, 200, now);
  assert.equal(recordLeaving(notices, 100, now), false);
  assert.equal(isLeaving(notices, 200), true);
});
