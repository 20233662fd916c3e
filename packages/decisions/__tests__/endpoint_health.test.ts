import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createEndpointHealth,
  FailureCause,
  isConfirmedFailed,
  isConfirmedAlive,
} from '@zinniaspindle/decisions';

const peers = 12;

function makeHealth(
  failedProbes: number,
  suspecting: number,
  cause: FailureCause,
  at = 1000,
) {
  const health = createEndpointHealth();
  health.failedProbes = failedProbes;
  for (let i = 0; i < suspecting; i += 1) {
    health.suspicions.set(`vm-${i}`, {at, cause});
  }
  return health;
}

// An endpoint fails with 40 streams on it, a few from each VM: all VMs probe it
// within 100 ms and get no answer for 160 ms.
test('one unanswered probe of most VMs confirms a failure', () => {
  const health = makeHealth(1, 6, FailureCause.Unanswered);
  assert.ok(isConfirmedFailed(health, peers, 1100));
  assert.ok(
    isConfirmedFailed(makeHealth(0, 9, FailureCause.Unanswered), peers, 1100),
  );
});

// With 3% packet loss on the links of a data centre, one in nine probes by the
// eight VMs outside it times out, sometimes two or three at once.
test('one unanswered probe of a few VMs counts as packet loss', () => {
  const few = makeHealth(1, 3, FailureCause.Unanswered);
  assert.ok(!isConfirmedFailed(few, peers, 1100));
  const late = makeHealth(1, 6, FailureCause.Unanswered);
  assert.ok(!isConfirmedFailed(late, peers, 1500));
  const none = makeHealth(0, 6, FailureCause.Unanswered);
  assert.ok(!isConfirmedFailed(none, peers, 1100));
});

test('two unanswered probes need the suspicion of one other VM', () => {
  assert.ok(
    isConfirmedFailed(makeHealth(2, 1, FailureCause.Silent), peers, 1100),
  );
  assert.ok(
    !isConfirmedFailed(makeHealth(2, 0, FailureCause.Silent), peers, 1100),
  );
  assert.ok(isConfirmedFailed(makeHealth(2, 0, FailureCause.Silent), 0, 1100));
  assert.ok(
    !isConfirmedFailed(makeHealth(0, 6, FailureCause.Silent), peers, 1100),
  );
  assert.ok(
    isConfirmedFailed(makeHealth(0, 7, FailureCause.Silent), peers, 1100),
  );
});

test('refusals count from two VMs on', () => {
  assert.ok(
    isConfirmedFailed(makeHealth(0, 2, FailureCause.Refusing), peers, 1100),
  );
  assert.ok(
    !isConfirmedFailed(makeHealth(0, 1, FailureCause.Refusing), peers, 1100),
  );
});

// Four of thirteen VMs are partitioned from an endpoint that serves the others.
test('an endpoint that most VMs reach has not failed', () => {
  const health = makeHealth(2, 3, FailureCause.Silent);
  for (let i = 3; i < 12; i += 1) health.refutations.set(`vm-${i}`, 1000);
  assert.ok(!isConfirmedFailed(health, peers, 1100));
  assert.ok(isConfirmedAlive(health, 1100));
  // The refutations have expired: the endpoint failed.
  assert.ok(isConfirmedFailed(health, peers, 2300));
  assert.ok(!isConfirmedAlive(health, 2300));
});

test('an endpoint that few VMs reach has failed', () => {
  const health = makeHealth(2, 8, FailureCause.Silent);
  for (let i = 8; i < 12; i += 1) health.refutations.set(`vm-${i}`, 1000);
  assert.ok(isConfirmedFailed(health, peers, 1100));
  assert.ok(!isConfirmedAlive(health, 1100));
});

test('an endpoint that refuses requests has failed although it answers probes', () => {
  const health = makeHealth(0, 2, FailureCause.Refusing);
  for (let i = 2; i < 12; i += 1) health.refutations.set(`vm-${i}`, 1000);
  assert.ok(isConfirmedFailed(health, peers, 1100));
});
