import assert from 'node:assert/strict';
import {test} from 'node:test';
import {toId, type VmId} from '@zinniaspindle/shared';
import {
  createLeasesState,
  decideLeases,
  LeaseCommandKind,
  LeaseInputKind,
  RecordKind,
  SubmitOutcome,
  type LeaseCommand,
  type LeaseInput,
  type LeaseRecord,
  type WriterId,
} from '../src/index.js';

const start = 1_700_000_000_000;
const resource = 'endpoints/0';
const me: VmId = toId('me');
const other: VmId = toId('other');

class Machine {
  readonly state;
  now = start;

  constructor() {
    this.state = createLeasesState({
      vm: me,
      writer: toId<WriterId>('me-run'),
      resources: [resource],
      leaseMilliseconds: 3000,
      retentionMilliseconds: 3_600_000,
      renewMilliseconds: 1000,
      maxSkewMilliseconds: 200,
      rankMilliseconds: 500,
      jitterMilliseconds: 100,
      yieldMilliseconds: 5000,
    });
    this.now = start - 3200;
    this.apply({kind: LeaseInputKind.ReadyChanged, ready: true});
    this.now = start;
    this.apply({kind: LeaseInputKind.VmsChanged, live: [me]});
  }

  apply(input: LeaseInput): readonly LeaseCommand[] {
    const step = decideLeases(this.state, input, this.now, () => 0.5);
    if (step.isErr) throw step.error;
    return step.value.commands;
  }

  runTickAt(now: number) {
    this.now = now;
    return this.apply({kind: LeaseInputKind.Tick});
  }

  fold(offset: number, holder: VmId, body: Partial<LeaseRecord>) {
    return this.apply({
      kind: LeaseInputKind.Folded,
      record: {
        writer: toId(`${holder}-run`),
        sequence: offset,
        offset,
        time: this.now,
        body: {
          kind: RecordKind.Lease,
          resource,
          holder,
          follows: -1,
          expiresAt: this.now + 3000,
          ...body,
        },
      },
    });
  }

  /** Takes the free lease and returns the commands. */
  take(now: number, offset: number, follows = -1) {
    this.runTickAt(now);
    const [command] = this.runTickAt(now + 50);
    assert.equal(command?.kind, LeaseCommandKind.SubmitRecord);
    return this.fold(offset, me, {follows});
  }
}

test('a free lease is taken after a random delay and held once its record is read back', () => {
  const machine = new Machine();
  assert.deepEqual(machine.runTickAt(start), []);
  assert.deepEqual(machine.runTickAt(start + 49), []);
  const [submitted] = machine.runTickAt(start + 50);
  assert.equal(submitted?.kind, LeaseCommandKind.SubmitRecord);
  const [held] = machine.fold(7, me, {});
  assert.ok(held?.kind === LeaseCommandKind.Held);
  assert.equal(held.lease.fencing, 7);
});

test('the first of two concurrent takes wins', () => {
  const machine = new Machine();
  machine.runTickAt(start);
  machine.runTickAt(start + 50);
  machine.fold(7, other, {});
  assert.deepEqual(machine.fold(8, me, {}), []);
});

test('the lease is renewed before it expires', () => {
  const machine = new Machine();
  machine.take(start, 7);
  assert.deepEqual(machine.runTickAt(start + 2000), []);
  const [renewal] = machine.runTickAt(start + 2050);
  assert.ok(renewal?.kind === LeaseCommandKind.SubmitRecord);
  assert.ok(renewal.body.kind === RecordKind.Lease);
  assert.equal(renewal.body.follows, 7);
});

test('a holder that was paused beyond the expiry loses the lease', () => {
  const machine = new Machine();
  machine.take(start, 7);
  const [lost] = machine.runTickAt(start + 60_000);
  assert.equal(lost?.kind, LeaseCommandKind.Lost);
});

test('a stale renewal does not regain the lease', () => {
  const machine = new Machine();
  machine.take(start, 7);
  machine.runTickAt(start + 2050);
  machine.now = start + 4000;
  const [lost] = machine.fold(8, other, {follows: 7});
  assert.equal(lost?.kind, LeaseCommandKind.Lost);
  assert.deepEqual(machine.fold(9, me, {follows: 7}), []);
  assert.equal(machine.state.resources.get(resource)?.current?.offset, 8);
});

test('a lease is taken only after its expiry and the clock skew', () => {
  const machine = new Machine();
  machine.fold(7, other, {});
  machine.runTickAt(start + 3199);
  assert.deepEqual(machine.runTickAt(start + 3249), []);
  machine.runTickAt(start + 3250);
  assert.equal(machine.runTickAt(start + 3300).length, 1);
});

test('a take that the log stored before the expiry is invalid', () => {
  const machine = new Machine();
  machine.take(start, 7);
  assert.deepEqual(machine.fold(8, other, {follows: 7}), []);
});

test('a drain releases the lease and takes no other', () => {
  const machine = new Machine();
  machine.take(start, 7);
  const [lost, released] = machine.apply({kind: LeaseInputKind.Drain});
  assert.equal(lost?.kind, LeaseCommandKind.Lost);
  assert.ok(released?.kind === LeaseCommandKind.SubmitRecord);
  assert.ok(released.body.kind === RecordKind.Lease);
  assert.equal(released.body.expiresAt, machine.now);
  machine.fold(8, me, {follows: 7, expiresAt: machine.now});
  assert.deepEqual(machine.runTickAt(start + 60_000), []);
});

test('a new holder learns until when earlier orders may take effect', () => {
  const machine = new Machine();
  machine.fold(7, other, {});
  machine.now = start + 100;
  machine.fold(8, other, {follows: 7, expiresAt: start + 100});
  const [held] = machine.take(start + 300, 9, 8);
  assert.ok(held?.kind === LeaseCommandKind.Held);
  assert.equal(held.lease.earlierOrdersEndAt, start + 3000);
});

test('a holder yields to the preferred VM after a delay', () => {
  const machine = new Machine();
  machine.take(start, 7);
  const vms = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map(name => toId<VmId>(name));
  const live = [...vms, me];
  machine.apply({kind: LeaseInputKind.VmsChanged, live});
  machine.runTickAt(start + 100);
  machine.now = start + 2900;
  machine.fold(8, me, {follows: 7, expiresAt: start + 9000});
  const commands = machine.runTickAt(start + 5100);
  assert.deepEqual(
    commands.map(command => command.kind),
    [LeaseCommandKind.Lost, LeaseCommandKind.SubmitRecord],
  );
});

test('a submission that was never sent is retried', () => {
  const machine = new Machine();
  machine.runTickAt(start);
  const [command] = machine.runTickAt(start + 50);
  assert.ok(command?.kind === LeaseCommandKind.SubmitRecord);
  const {token} = command;
  const submitOutcome = SubmitOutcome.NeverSent;
  machine.apply({
    kind: LeaseInputKind.SubmitResolved,
    token,
    outcome: submitOutcome,
  });
  machine.runTickAt(start + 100);
  assert.equal(machine.runTickAt(start + 150).length, 1);
});
