import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  canAskPeers,
  createLink,
  isIsolated,
  isLinkTrialDue,
  LinkFailure,
  recordGone,
  recordPeerReached,
  recordReached,
  recordTrialEnd,
  recordTrialStart,
} from '../src/links/index.js';

// Times are in milliseconds.

test('a refused connection that a peer can make cuts the link', () => {
  const link = createLink();
  assert.equal(recordPeerReached(link, LinkFailure.Refused, 0), true);
  assert.equal(recordPeerReached(link, LinkFailure.Refused, 10), false);
  assert.equal(link.isCut, true);
});

test('one connection that hangs may have lost a packet', () => {
  const link = createLink();
  assert.equal(recordPeerReached(link, LinkFailure.Hung, 0), false);
  recordReached(link);
  assert.equal(recordPeerReached(link, LinkFailure.Hung, 50), false);
  assert.equal(recordPeerReached(link, LinkFailure.Hung, 100), true);
});

test('two trials in a row end a cut, and a failed one starts anew', () => {
  const link = createLink();
  recordPeerReached(link, LinkFailure.Refused, 0);
  assert.equal(isLinkTrialDue(link, 400), false);
  assert.equal(isLinkTrialDue(link, 500), true);
  recordTrialStart(link, 500);
  assert.equal(isLinkTrialDue(link, 600), false);
  assert.equal(recordTrialEnd(link, true), false);
  assert.equal(recordTrialEnd(link, false), false);
  assert.equal(recordTrialEnd(link, true), false);
  assert.equal(recordTrialEnd(link, true), true);
  assert.equal(link.isCut, false);
  assert.equal(recordTrialEnd(link, true), false);
});

test('a link that is cut again soon needs more trials each time, up to a bound', () => {
  const link = createLink();
  const needed: number[] = [];
  for (let now = 0; now < 6000; now += 1000) {
    recordPeerReached(link, LinkFailure.Refused, now);
    needed.push(link.neededTrials);
    for (let i = 0; i < link.neededTrials; i += 1) recordTrialEnd(link, true);
    assert.equal(link.isCut, false);
  }
  assert.deepEqual(needed, [2, 4, 8, 16, 16, 16]);
  recordPeerReached(link, LinkFailure.Refused, 60_000);
  assert.equal(link.neededTrials, 2);
});

test('peers are not asked again at once for an endpoint that none reaches', () => {
  const link = createLink();
  assert.equal(canAskPeers(link, 0), true);
  recordGone(link, 0);
  assert.equal(canAskPeers(link, 100), false);
  assert.equal(canAskPeers(link, 500), true);
  recordGone(link, 600);
  recordReached(link);
  assert.equal(canAskPeers(link, 610), true);
});

test('a VM with several cut links and no other connection is isolated', () => {
  assert.equal(isIsolated(1, -Infinity, 5000), false);
  assert.equal(isIsolated(2, 4500, 5000), false);
  assert.equal(isIsolated(2, 3000, 5000), true);
});
