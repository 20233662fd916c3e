import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createEndpointHealth,
  FailureCause,
  isConfirmedFailed,
  isConfirmedAlive,
} from '@zinniaspindle/decisions';

const peers = 12;

function makeDoubt(
  failedProbes: number,
  accusers: number,
  cause: FailureCause,
  at = 1000,
) {
  const doubt = createEndpointHealth();
  doubt.failedProbes = failedProbes;
  for (let i = 0; i < accusers; i += 1) {
    doubt.suspicions.set(`vm-${i}`, {at, cause});
  }
  return doubt;
}

// An endpoint fails with 40 streams on it, a few from each VM: all VMs probe it
// within 100 ms and get no answer for 160 ms.
test('one unanswered probe of most VMs confirms a failure', () => {
  const doubt = makeDoubt(1, 6, FailureCause.Unanswered);
  assert.ok(isConfirmedFailed(doubt, peers, 1100));
  assert.ok(
    isConfirmedFailed(makeDoubt(0, 9, FailureCause.Unanswered), peers, 1100),
  );
});

// With 3% packet loss on the links of a data centre, one in nine probes by the
// eight VMs outside it times out, sometimes two or three at once.
test('one unanswered probe of a few VMs counts as packet loss', () => {
  const few = makeDoubt(1, 3, FailureCause.Unanswered);
  assert.ok(!isConfirmedFailed(few, peers, 1100));
  const late = makeDoubt(1, 6, FailureCause.Unanswered);
  assert.ok(!isConfirmedFailed(late, peers, 1500));
  const none = makeDoubt(0, 6, FailureCause.Unanswered);
  assert.ok(!isConfirmedFailed(none, peers, 1100));
});

test('two unanswered probes need the suspicion of one other VM', () => {
  assert.ok(
    isConfirmedFailed(makeDoubt(2, 1, FailureCause.Silent), peers, 1100),
  );
  assert.ok(
    !isConfirmedFailed(makeDoubt(2, 0, FailureCause.Silent), peers, 1100),
  );
  assert.ok(isConfirmedFailed(makeDoubt(2, 0, FailureCause.Silent), 0, 1100));
  assert.ok(
    !isConfirmedFailed(makeDoubt(0, 6, FailureCause.Silent), peers, 1100),
  );
  assert.ok(
    isConfirmedFailed(makeDoubt(0, 7, FailureCause.Silent), peers, 1100),
  );
});

test('refusals count from two VMs on', () => {
  assert.ok(
    isConfirmedFailed(makeDoubt(0, 2, FailureCause.Refusing), peers, 1100),
  );
  assert.ok(
    !isConfirmedFailed(makeDoubt(0, 1, FailureCause.Refusing), peers, 1100),
  );
});

// Four of thirteen VMs are partitioned from an endpoint that serves the others.
test('an endpoint that most VMs reach has not failed', () => {
  const doubt = makeDoubt(2, 3, FailureCause.Silent);
  for (let i = 3; i < 12; i += 1) doubt.refutations.set(`vm-${i}`, 1000);
  assert.ok(!isConfirmedFailed(doubt, peers, 1100));
  assert.ok(isConfirmedAlive(doubt, 1100));
  // The refutations have expired: the endpoint failed.
  assert.ok(isConfirmedFailed(doubt, peers, 2300));
  assert.ok(!isConfirmedAlive(doubt, 2300));
});

test('an endpoint that few VMs reach has failed', () => {
  const doubt = makeDoubt(2, 8, FailureCause.Silent);
  for (let i = 8; i < 12; i += 1) doubt.refutations.set(`vm-${i}`, 1000);
  assert.ok(isConfirmedFailed(doubt, peers, 1100));
  assert.ok(!isConfirmedAlive(doubt, 1100));
});

test('an endpoint that refuses requests has failed although it answers probes', () => {
  const doubt = makeDoubt(0, 2, FailureCause.Refusing);
  for (let i = 2; i < 12; i += 1) doubt.refutations.set(`vm-${i}`, 1000);
  assert.ok(isConfirmedFailed(doubt, peers, 1100));
});
