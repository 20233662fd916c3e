import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  EndpointRole,
  EngineRefusal,
  toId,
  type EndpointId,
  type EngineState,
  type EngineStateResponse,
} from '@zinniaspindle/shared';
import {
  createOrdersState,
  decideOrders,
  findShard,
  OrderCommandKind,
  OrderInputKind,
  type OrderCommand,
  type OrderInput,
} from '../src/index.js';

const start = 1_700_000_000_000;
const e1: EndpointId = toId('e1');

function makeState(model: string): EngineState {
  const layers = {first: 0, end: 24};
  return {model: toId(model), layers, role: EndpointRole.Mixed};
}

class Machine {
  readonly state = createOrdersState({
    shardCount: 1,
    orderMilliseconds: 2000,
    replyMilliseconds: 500,
    settledPollMilliseconds: 5000,
    pollMilliseconds: 200,
    maxBackoffMilliseconds: 1000,
    maxSkewMilliseconds: 100,
    maxInFlight: 2,
    maxLoads: 1,
  });
  now = start;

  apply(input: OrderInput): readonly OrderCommand[] {
    const step = decideOrders(this.state, input, this.now, () => 0);
    if (step.isErr) throw step.error;
    return step.value.commands;
  }

  takeLease(expiresAt = start + 60_000, earlierOrdersEndAt = 0) {
    const resource = findShard(e1, 1);
    const lease = {resource, fencing: 9, expiresAt, earlierOrdersEndAt};
    this.apply({kind: OrderInputKind.LeaseHeld, lease});
  }

  setWanted(endpoint: EndpointId, model: string, checksFencing = true) {
    const kind = OrderInputKind.WantedChanged;
    const wanted = makeState(model);
    this.apply({kind, endpoint, wanted, checksFencing});
  }

  runTickAt(now: number) {
    this.now = now;
    return this.apply({kind: OrderInputKind.Tick});
  }

  /** Answers the pending read of an endpoint. */
  answerRead(endpoint: EndpointId, held?: string, loading?: string) {
    const response: EngineStateResponse = {
      fencing: 0,
      ...(held ? {held: makeState(held)} : {}),
      ...(loading ? {loading: makeState(loading)} : {}),
    };
    return this.apply({
      kind: OrderInputKind.StateRead,
      ...this.getExchange(endpoint),
      response,
    });
  }

  getExchange(endpoint: EndpointId) {
    const {exchange} = this.state.endpoints.get(endpoint)!;
    return {endpoint, exchange};
  }
}

test('an endpoint is read, ordered, and read until it is in its wanted state', () => {
  const machine = new Machine();
  machine.setWanted(e1, 'm1');
  assert.deepEqual(machine.runTickAt(start), []);
  machine.takeLease();
  const [read] = machine.runTickAt(start);
  assert.equal(read?.kind, OrderCommandKind.ReadState);
  const [sent] = machine.answerRead(e1, 'm0');
  assert.ok(sent?.kind === OrderCommandKind.SendOrder);
  assert.deepEqual(sent.order, {
    wanted: makeState('m1'),
    fencing: 9,
    deadline: start + 2000,
  });
  machine.apply({
    kind: OrderInputKind.OrderAccepted,
    ...machine.getExchange(e1),
  });
  assert.equal(machine.runTickAt(start + 100).length, 1);
  assert.deepEqual(machine.answerRead(e1, 'm0', 'm1'), []);
  assert.equal(machine.runTickAt(start + 300).length, 1);
  assert.deepEqual(machine.answerRead(e1, 'm1'), []);
  assert.deepEqual(machine.runTickAt(start + 5000), []);
});

test('no order is sent under an expired lease, nor is valid beyond it', () => {
  const machine = new Machine();
  machine.setWanted(e1, 'm1');
  machine.takeLease(start + 1000);
  machine.runTickAt(start);
  machine.now = start + 1000;
  assert.deepEqual(machine.answerRead(e1, 'm0'), []);
  machine.takeLease(start + 2000);
  machine.runTickAt(start + 1500);
  const [sent] = machine.answerRead(e1, 'm0');
  assert.ok(sent?.kind === OrderCommandKind.SendOrder);
  assert.equal(sent.order.deadline, start + 2000);
});

test('without fencing checks, a new order waits until earlier ones have expired', () => {
  const machine = new Machine();
  machine.setWanted(e1, 'm1', false);
  machine.takeLease(start + 60_000, start + 1000);
  machine.runTickAt(start);
  assert.deepEqual(machine.answerRead(e1, 'm0'), []);
  machine.runTickAt(start + 1100);
  assert.equal(machine.answerRead(e1, 'm0').length, 1);
});

test('a different order waits until an unanswered one has expired', () => {
  const machine = new Machine();
  machine.setWanted(e1, 'm1');
  machine.takeLease();
  machine.runTickAt(start);
  machine.answerRead(e1, 'm0');
  machine.setWanted(e1, 'm2');
  machine.runTickAt(start + 500);
  machine.runTickAt(start + 700);
  assert.deepEqual(machine.answerRead(e1, 'm0'), []);
  machine.runTickAt(start + 2100);
  assert.equal(machine.answerRead(e1, 'm0').length, 1);
});

test('a late reply is ignored', () => {
  const machine = new Machine();
  machine.setWanted(e1, 'm1');
  machine.takeLease();
  machine.runTickAt(start);
  const late = machine.getExchange(e1);
  machine.runTickAt(start + 500);
  machine.runTickAt(start + 700);
  const response = {fencing: 0, held: makeState('m0')};
  const kind = OrderInputKind.StateRead;
  assert.deepEqual(machine.apply({kind, ...late, response}), []);
});

test('concurrent loads are limited', () => {
  const machine = new Machine();
  const e2: EndpointId = toId('e2');
  machine.setWanted(e1, 'm1');
  machine.setWanted(e2, 'm1');
  machine.takeLease();
  assert.equal(machine.runTickAt(start).length, 2);
  assert.equal(machine.answerRead(e1, 'm0').length, 1);
  assert.deepEqual(machine.answerRead(e2, 'm0'), []);
});

test('failed reads are retried with exponential backoff', () => {
  const machine = new Machine();
  machine.setWanted(e1, 'm1');
  machine.takeLease();
  const waits: number[] = [];
  for (let i = 0; i < 5; i += 1) {
    const before = machine.now;
    while (machine.runTickAt(machine.now + 100).length === 0);
    waits.push(machine.now - before);
    const {exchange} = machine.getExchange(e1);
    const reason = EngineRefusal.Overloaded;
    const kind = OrderInputKind.ReadFailed;
    machine.apply({kind, endpoint: e1, exchange, reason});
  }
  assert.deepEqual(waits, [100, 200, 400, 800, 1000]);
});
