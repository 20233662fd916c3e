import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createDoubt,
  DoubtCause,
  isLost,
  isVouchedFor,
} from '@zinniaspindle/decisions';

const peers = 12;

function makeDoubt(
  failedProbes: number,
  accusers: number,
  cause: DoubtCause,
  at = 1000,
) {
  const doubt = createDoubt();
  doubt.failedProbes = failedProbes;
  for (let i = 0; i < accusers; i += 1) {
    doubt.accusers.set(`vm-${i}`, {at, cause});
  }
  return doubt;
}

// An endpoint goes dark with 40 streams on it, a few of each VM: all VMs ask it
// within 100 ms, and get no answer for 160 ms.
test('one unanswered question of most VMs is enough', () => {
  const doubt = makeDoubt(1, 6, DoubtCause.Unanswered);
  assert.ok(isLost(doubt, peers, 1100));
  assert.ok(isLost(makeDoubt(0, 9, DoubtCause.Unanswered), peers, 1100));
});

// A data centre's links lose 3 packets in 100: of eight VMs outside it one in
// nine gets no answer in time, now and then two or three at once.
test('one unanswered question of a few VMs is a lost packet', () => {
  const few = makeDoubt(1, 3, DoubtCause.Unanswered);
  assert.ok(!isLost(few, peers, 1100));
  const late = makeDoubt(1, 6, DoubtCause.Unanswered);
  assert.ok(!isLost(late, peers, 1500));
  const none = makeDoubt(0, 6, DoubtCause.Unanswered);
  assert.ok(!isLost(none, peers, 1100));
});

test('two unanswered questions count with one other VM that says so', () => {
  assert.ok(isLost(makeDoubt(2, 1, DoubtCause.Silent), peers, 1100));
  assert.ok(!isLost(makeDoubt(2, 0, DoubtCause.Silent), peers, 1100));
  assert.ok(isLost(makeDoubt(2, 0, DoubtCause.Silent), 0, 1100));
  assert.ok(!isLost(makeDoubt(0, 6, DoubtCause.Silent), peers, 1100));
  assert.ok(isLost(makeDoubt(0, 7, DoubtCause.Silent), peers, 1100));
});

test('refusals count from two VMs', () => {
  assert.ok(isLost(makeDoubt(0, 2, DoubtCause.Refusing), peers, 1100));
  assert.ok(!isLost(makeDoubt(0, 1, DoubtCause.Refusing), peers, 1100));
});

// Four of thirteen VMs are cut off from an endpoint that serves the others.
test('an endpoint that most VMs reach is not lost', () => {
  const doubt = makeDoubt(2, 3, DoubtCause.Silent);
  for (let i = 3; i < 12; i += 1) doubt.vouchers.set(`vm-${i}`, 1000);
  assert.ok(!isLost(doubt, peers, 1100));
  assert.ok(isVouchedFor(doubt, 1100));
  // Nobody says so any more: it went down.
  assert.ok(isLost(doubt, peers, 2300));
  assert.ok(!isVouchedFor(doubt, 2300));
});

test('an endpoint that few VMs reach is lost', () => {
  const doubt = makeDoubt(2, 8, DoubtCause.Silent);
  for (let i = 8; i < 12; i += 1) doubt.vouchers.set(`vm-${i}`, 1000);
  assert.ok(isLost(doubt, peers, 1100));
  assert.ok(!isVouchedFor(doubt, 1100));
});

test('an endpoint that refuses work is lost though it answers', () => {
  const doubt = makeDoubt(0, 2, DoubtCause.Refusing);
  for (let i = 2; i < 12; i += 1) doubt.vouchers.set(`vm-${i}`, 1000);
  assert.ok(isLost(doubt, peers, 1100));
});
