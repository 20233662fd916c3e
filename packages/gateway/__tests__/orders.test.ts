import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureCause} from '@zinniaspindle/decisions';
import {Result} from 'true-myth';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import {EndpointProber} from '../src/fleet/endpoint_prober.js';
import {EraWatch} from '../src/following/era_watch.js';
import {makeReplacedHandler} from '../src/fleet/report_end.js';
import {Metrics} from '../src/log/metrics.js';
import {OrderRunner} from '../src/orders/order_runner.js';
import {Ownership} from '../src/orders/ownership.js';
import type {AnnouncedOrder, OrderMessage} from '../src/peers/messages.js';
import {
  EndpointErrorCode,
  makeEndpointError,
  makeStoreError,
  OrderOutcome,
  StoreErrorCode,
  type Configuration,
  type EndpointCalls,
  type GroupView,
  type RangeOrder,
  type Store,
  type StoreError,
} from '../src/ports/index.js';
import {makeEntry} from './make_entry.js';

const logNothing = () => undefined;

/** Waits until the reactions of settled promises have run. */
function runPending(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

function makeOwnership(answers: Array<Result<GroupView, StoreError>>) {
  const clock = {now: 0};
  const calls = {joins: 0, leaves: 0};
  const generations: number[] = [];
  const eras = new EraWatch(logNothing);
  const store = {
    joinOwnerGroup: (_member: string, generation: number) => {
      generations.push(generation);
      calls.joins += 1;
      return Promise.resolve(answers.shift()!);
    },
    releaseOwnership: () => {
      calls.leaves += 1;
      return Promise.resolve(Result.ok(undefined));
    },
  } as Partial<Store> as Store;
  const ownership = new Ownership(
    store,
    'vm-1',
    eras,
    logNothing,
    new Metrics(),
    () => clock.now,
  );
  return {clock, calls, generations, eras, ownership};
}

function makeView(generation: number, isOwner: boolean, era?: number) {
  return Result.ok<GroupView, StoreError>({generation, isOwner, era});
}

const lost = Result.err<GroupView, StoreError>(
  makeStoreError(StoreErrorCode.OutcomeUnknown, 'no answer'),
);

test('the fencing token of the owner is its generation', async () => {
  const {ownership} = makeOwnership([makeView(7, true)]);
  ownership.poll(0, false);
  await runPending();
  assert.equal(ownership.findFencingToken(), 7);
});

test('only the owner and the first two VMs are members of the group', async () => {
  const {ownership, calls, clock} = makeOwnership([
    makeView(3, false),
    makeView(3, false),
  ]);
  ownership.poll(2, false);
  ownership.poll(5, true);
  assert.equal(calls.joins, 0);
  ownership.poll(1, true);
  await runPending();
  clock.now += 1000;
  ownership.poll(1, true);
  await runPending();
  assert.equal(calls.joins, 2);
  clock.now += 1000;
  ownership.poll(2, true);
  await runPending();
  assert.deepEqual(calls, {joins: 2, leaves: 1});
});

// Had the store turned away the first two VMs, no VM would have joined.
test('a VM that the store turns away leaves the ownership to the next ones', async () => {
  const {ownership, calls, clock} = makeOwnership([makeView(3, false)]);
  ownership.poll(undefined, false);
  assert.equal(calls.joins, 0);
  ownership.poll(1, false);
  await runPending();
  clock.now += 1000;
  ownership.poll(undefined, false);
  assert.deepEqual(calls, {joins: 1, leaves: 0});
});

// Two VMs that each join when no owner is known, and leave when one is, move the
// ownership with every join and every leave.
test('a VM that lost the ownership stays a member, as the next owner', async () => {
  const {ownership, calls, clock} = makeOwnership([
    makeView(1, true),
    makeView(2, false),
    makeView(2, false),
  ]);
  for (let round = 0; round < 3; round += 1) {
    ownership.poll(0, round > 0);
    await runPending();
    clock.now += 700;
  }
  assert.equal(ownership.findFencingToken(), undefined);
  assert.deepEqual(calls, {joins: 3, leaves: 0});
});

test('an owner whose membership expired yields to another owner', async () => {
  const {ownership, clock} = makeOwnership([makeView(7, true), lost, lost]);
  ownership.poll(0, false);
  await runPending();
  clock.now += 1000;
  ownership.poll(0, true);
  await runPending();
  assert.equal(ownership.findFencingToken(), 7);
  clock.now += 1000;
  ownership.poll(0, true);
  assert.equal(ownership.findFencingToken(), undefined);
});

test('an outage of the store does not end the ownership', async () => {
  const {ownership, clock} = makeOwnership([makeView(7, true), lost]);
  ownership.poll(0, false);
  await runPending();
  clock.now += 1000;
  ownership.poll(0, false);
  await runPending();
  assert.equal(ownership.findFencingToken(), 7);
});

test('a fenced owner loses the ownership until the store confirms it', async () => {
  const {ownership, clock} = makeOwnership([
    makeView(7, true),
    makeView(9, true),
  ]);
  ownership.poll(0, false);
  await runPending();
  ownership.handleFenced();
  assert.equal(ownership.findFencingToken(), undefined);
  clock.now += 1000;
  ownership.poll(0, false);
  await runPending();
  assert.equal(ownership.findFencingToken(), 9);
});

test('an answer of an older generation is ignored', async () => {
  const {ownership, clock} = makeOwnership([
    makeView(9, false),
    makeView(8, true),
  ]);
  ownership.poll(0, false);
  await runPending();
  clock.now += 1000;
  ownership.poll(0, false);
  await runPending();
  assert.equal(ownership.findFencingToken(), undefined);
});

const configuration = {
  services: new Map([
    [
      'letters',
      {
        name: 'letters',
        model: {
          shape: {
            layerCount: 8,
            layerMegabytes: 100,
            tokenMegabytesPerLayer: 0.001,
            stepMilliseconds: 1,
            loadsAtOnce: 6,
          },
          kinds: new Map([
            ['card', {name: 'card', sizeMegabytes: 2000, pace: 1}],
          ]),
          meanAnswerTokens: 10,
        },
      },
    ],
  ]),
} as Partial<Configuration> as Configuration;

async function makeRunner(outcome: () => OrderOutcome | undefined) {
  const {ownership, clock} = makeOwnership([makeView(3, true)]);
  ownership.poll(0, false);
  await runPending();
  const table = new EndpointTable(logNothing, () => clock.now);
  const orders: RangeOrder[] = [];
  /** Orders that were sent by the time each one was told of. */
  const announced: {readonly order: AnnouncedOrder; readonly sent: number}[] =
    [];
  const reports = {count: 0};
  const calls: EndpointCalls = {
    fetchReport: () => {
      reports.count += 1;
      const code = EndpointErrorCode.TimedOut;
      return Promise.resolve(Result.err(makeEndpointError(code, 'silent')));
    },
    sendOrder: order => {
      orders.push(order);
      const answer = outcome();
      if (answer !== undefined) {
        const claims = {isMisdirected: answer === OrderOutcome.Misdirected};
        return Promise.resolve(Result.ok({outcome: answer, claims}));
      }
      const code = EndpointErrorCode.TimedOut;
      return Promise.resolve(Result.err(makeEndpointError(code, 'silent')));
    },
  };
  const metrics = new Metrics();
  const getNow = () => clock.now;
  const ended: string[] = [];
  const handlers = {
    handleDown: logNothing,
    handleEnded: ({id}: {id: string}) => void ended.push(id),
  };
  const listeners = {
    ...handlers,
    sendFacts: logNothing,
    sendSuspicion: logNothing,
    handleReplaced: makeReplacedHandler(table, {
      ...handlers,
      writeEvent: logNothing,
    }),
  };
  const prober = new EndpointProber(
    table,
    calls,
    listeners,
    metrics,
    () => true,
    () => 1,
    getNow,
  );
  const handleOrder = (order: Omit<OrderMessage, 'kind'>) => {
    table.applyOrder(order.id, order.bornAt, order.range, order.orderCount);
  };
  const runner = new OrderRunner(
    table,
    calls,
    prober,
    ownership,
    handleOrder,
    () => 1,
    logNothing,
    metrics,
    getNow,
    order => announced.push({order, sent: orders.length}),
  );
  for (const id of ['e1', 'e2']) {
    table.applyEntry(makeEntry({id, address: `${id}:1`}));
  }
  const run = async (passed: number) => {
    clock.now += passed;
    runner.run(configuration);
    await runPending();
  };
  return {table, orders, announced, reports, run, ownership, clock, ended};
}

test('the fencing token rises when the generation falls in a new era', async () => {
  const {ownership, clock, generations} = makeOwnership([
    makeView(7, true, 1),
    makeView(2, true, 2),
  ]);
  ownership.poll(0, false);
  await runPending();
  const before = ownership.findFencingToken()!;
  clock.now = 600;
  ownership.poll(0, false);
  await runPending();
  const after = ownership.findFencingToken()!;
  assert.ok(after > before, `${after} after ${before}`);
  assert.deepEqual(generations, [0, 7]);
});

test('an owner whose claim is of an older era sends no order until it is confirmed', async () => {
  const {ownership, clock, eras, generations} = makeOwnership([
    makeView(7, true, 1),
    makeView(3, false, 2),
  ]);
  ownership.poll(0, false);
  await runPending();
  eras.acceptFromPeer(2, 'vm-2');
  assert.equal(ownership.findFencingToken(), undefined);
  clock.now = 40;
  ownership.poll(0, false);
  await runPending();
  assert.equal(ownership.findFencingToken(), undefined);
  assert.deepEqual(generations, [0, 0]);
});

test('an answer of an unknown era gives no claim once an era is known', async () => {
  const {ownership, clock, eras} = makeOwnership([
    makeView(7, true),
    makeView(7, true, 3),
    makeView(2, true),
    makeView(9, false, 2),
  ]);
  eras.acceptFromPeer(3, 'vm-2');
  ownership.poll(0, false);
  await runPending();
  assert.equal(ownership.findFencingToken(), undefined);
  clock.now = 600;
  ownership.poll(0, false);
  await runPending();
  const token = ownership.findFencingToken();
  assert.notEqual(token, undefined);
  for (clock.now = 1200; clock.now <= 1800; clock.now += 600) {
    ownership.poll(0, false);
    await runPending();
  }
  assert.equal(ownership.findFencingToken(), token);
});

test('the first plan waits until no more endpoints are added', async () => {
  const {orders, run} = await makeRunner(() => OrderOutcome.Started);
  await run(0);
  assert.equal(orders.length, 0);
  await run(800);
  assert.equal(orders.length, 2);
  assert.equal(orders[0]!.fencingToken, 3);
});

// An answer may be lost or late, while the order cuts streams off.
test('peers are told of an order before it is sent', async () => {
  const {orders, announced, run} = await makeRunner(() => undefined);
  await run(0);
  await run(800);
  assert.equal(orders.length, 2);
  for (const [index, {order, sent}] of announced.entries()) {
    const {endpointId, range, cutsRequests, expectedOrderCount} =
      orders[index]!;
    assert.equal(sent, index);
    assert.deepEqual(order, {
      ...{id: endpointId, bornAt: order.bornAt, range, cutsRequests},
      orderCount: expectedOrderCount + 1,
    });
  }
});

test('an order in progress is not sent again', async () => {
  const {orders, run} = await makeRunner(() => OrderOutcome.Started);
  await run(0);
  await run(800);
  await run(500);
  await run(500);
  assert.equal(orders.length, 2);
});

test('an unanswered order is repeated with the same expected count', async () => {
  const {orders, run} = await makeRunner(() => undefined);
  await run(0);
  await run(800);
  await run(500);
  assert.equal(orders.length, 4);
  const counts = new Set(orders.map(one => one.expectedOrderCount));
  assert.deepEqual([...counts], [0]);
});

// Repeating it would move nothing, and the plan counted on its endpoint.
test('an order that another endpoint refuses ends the one that it was for', async () => {
  const {table, orders, run, ended, reports} = await makeRunner(
    () => OrderOutcome.Misdirected,
  );
  await run(0);
  await run(800);
  const asked = reports.count;
  assert.deepEqual(ended.toSorted(), ['e1', 'e2']);
  assert.deepEqual(table.list(), []);
  await run(500);
  assert.equal(orders.length, 2);
  assert.equal(reports.count, asked);
});

test('an endpoint that is listed again after such an order gets its own', async () => {
  const {table, orders, run} = await makeRunner(() =>
    orders.length > 2 ? OrderOutcome.Started : OrderOutcome.Misdirected,
  );
  await run(0);
  await run(800);
  table.applyEntry(makeEntry({address: '10.0.0.9:80', bornAt: 2}));
  await run(800);
  await run(800);
  const {address, endpointId} = orders[2]!;
  assert.deepEqual([endpointId, address], ['e1', '10.0.0.9:80']);
});

test('an owner that an endpoint fences off sends no more orders', async () => {
  const {orders, run, ownership} = await makeRunner(() => OrderOutcome.Fenced);
  await run(0);
  await run(800);
  await run(500);
  assert.equal(ownership.findFencingToken(), undefined);
  assert.equal(orders.length, 2);
});

test('an endpoint counts as failed only if a second VM suspects it', async () => {
  const {table, orders, run, clock} = await makeRunner(
    () => OrderOutcome.Started,
  );
  await run(0);
  await run(800);
  const state = table.find('e1')!;
  state.health.failedProbes = 5;
  await run(300);
  assert.equal(orders.length, 2);
  const cause = FailureCause.Silent;
  state.health.suspicions.set('vm-2', {at: clock.now, cause});
  await run(300);
  assert.ok(orders.some(one => one.endpointId === 'e2' && one.range.end === 8));
});

test('loads are followed while more endpoints are being lost', async () => {
  const {table, run, reports} = await makeRunner(() => OrderOutcome.Started);
  await run(0);
  await run(800);
  const before = reports.count;
  table.applyEntry(makeEntry({id: 'e9', address: '10.0.0.9:80'}));
  await run(300);
  assert.ok(reports.count > before, `${reports.count}`);
});

test('the owner orders the layers of an endpoint that leaves elsewhere', async () => {
  const {table, orders, run} = await makeRunner(() => OrderOutcome.Started);
  await run(0);
  const leaving = {id: 'e1', bornAt: 1};
  table.acceptNotice(
    leaving,
    {isLeaving: true, pauseMilliseconds: undefined},
    'request r1',
  );
  await run(800);
  const {model} = configuration.services.get('letters')!;
  const left = table.listLeaving('letters', model!);
  assert.deepEqual(
    left.map(one => one.id),
    ['e1'],
  );
  assert.deepEqual(
    orders.map(({endpointId, range}) => [endpointId, range.first, range.end]),
    [['e2', 0, 8]],
  );
});

test('an endpoint that asks for a pause gets no order until its end', async () => {
  const {table, orders, run} = await makeRunner(() => OrderOutcome.Started);
  await run(0);
  const pause = {isLeaving: false, pauseMilliseconds: 2000};
  table.acceptNotice({id: 'e1', bornAt: 1}, pause, 'order');
  await run(800);
  await run(800);
  assert.ok(orders.every(({endpointId}) => endpointId === 'e2'));
  await run(800);
  assert.ok(orders.some(({endpointId}) => endpointId === 'e1'));
});
