import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import type {ProcessClaims} from '@zinniaspindle/decisions';
import {Result} from 'true-myth';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import {EndpointProber} from '../src/fleet/endpoint_prober.js';
import {Metrics} from '../src/log/metrics.js';
import {
  EndpointErrorCode,
  makeEndpointError,
  type EndpointCalls,
  type EndpointError,
  type EndpointReport,
  type HandleNotice,
} from '../src/ports/index.js';
import {makeEntry} from './make_entry.js';

const logNothing = () => undefined;
const held = {first: 0, end: 8};

/**
 * Makes a prober of endpoints whose memory fill depends on the time of the probe;
 * undefined makes an endpoint unreachable.
 */
function makeProber(
  getFill: (probedAt: number) => number | undefined,
  isVoter = true,
  ids: readonly string[] = ['e1'],
) {
  const getNow = () => performance.now();
  const table = new EndpointTable(logNothing, getNow);
  for (const id of ids) {
    table.applyEntry(makeEntry({id, address: `${id}:1`, held}));
  }
  const calls = {requests: 0};
  const fetchReport = () => {
    calls.requests += 1;
    const memoryFill = getFill(getNow());
    if (memoryFill === undefined) {
      const code = EndpointErrorCode.Unreachable;
      return Promise.resolve(Result.err(makeEndpointError(code, 'refused')));
    }
    const report = {bornAt: 1, orderCount: 1, isBusy: false, held, memoryFill};
    return Promise.resolve(Result.ok(report as EndpointReport));
  };
  const port = {fetchReport} as Partial<EndpointCalls> as EndpointCalls;
  const suspected: string[] = [];
  const listeners = {
    sendFacts: logNothing,
    sendSuspicion: (id: string) => suspected.push(id),
    handleDown: logNothing,
    handleEnded: logNothing,
    handleReplaced: logNothing,
  };
  const prober = new EndpointProber(
    table,
    port,
    listeners,
    new Metrics(),
    () => isVoter,
    () => 1,
    getNow,
  );
  return {prober, table, suspected, calls};
}

// When two chains fail at once, the third one's memory fills within 100 ms, and
// the reports of its endpoints show that only 200 ms later.
test('an endpoint that has just filled up is not suspected', async () => {
  const filledAt = performance.now();
  const {prober, suspected} = makeProber(probedAt =>
    probedAt - filledAt < 200 ? 0.3 : 0.95,
  );
  const checks: Promise<void>[] = [];
  for (let i = 0; i < 4; i += 1) {
    checks.push(prober.checkRefusal('e1', 'status 503', held));
    await waitMilliseconds(20);
  }
  await Promise.all(checks);
  assert.deepEqual(suspected, []);
});

test('an endpoint that refuses although it has capacity is suspected', async () => {
  const {prober, suspected} = makeProber(() => 0.3);
  await prober.checkRefusal('e1', 'status 503', held);
  await prober.checkRefusal('e1', 'status 503', held);
  assert.deepEqual(suspected, ['e1']);
});

// When 128 VMs find an endpoint down at once, each suspicion must not make all
// others probe it, fail and send a suspicion of their own.
test('suspicions of many VMs do not cause a probe each', async () => {
  const {prober, table, suspected, calls} = makeProber(() => undefined, true);
  const state = table.find('e1')!;
  for (let i = 0; i < 100; i += 1) await prober.checkSuspicion(state);
  assert.ok(calls.requests <= 2, `${calls.requests} probes`);
  assert.ok(suspected.length <= 2, `${suspected.length} suspicions`);
});

test('a VM that is no voter does not probe on suspicions of others', async () => {
  const {prober, table, calls} = makeProber(() => 0.3, false);
  assert.equal(await prober.checkSuspicion(table.find('e1')!), false);
  assert.equal(calls.requests, 0);
});

// A partitioned VM must not suspect all 103 endpoints, which makes the 127 other
// VMs probe all of them.
test('a VM that reaches hardly any endpoint stops sending suspicions', async () => {
  const ids = Array.from({length: 40}, (_, index) => `e${index}`);
  const {prober, suspected} = makeProber(() => undefined, true, ids);
  await Promise.all(ids.map(id => prober.probe(id)));
  const sent = suspected.length;
  assert.ok(sent <= 20, `${sent} suspicions`);
});

test('an endpoint whose report says that it leaves gets no new requests', async () => {
  const table = new EndpointTable(logNothing, () => performance.now());
  table.applyEntry(makeEntry({held}));
  const state = table.find('e1')!;
  const code = EndpointErrorCode.Malformed;
  const fetchReport: EndpointCalls['fetchReport'] = (_address, handle) => {
    handle({isLeaving: true, pauseMilliseconds: undefined});
    return Promise.resolve(Result.err(makeEndpointError(code, 'status 503')));
  };
  const prober = new EndpointProber(
    table,
    {fetchReport} as Partial<EndpointCalls> as EndpointCalls,
    {
      sendFacts: logNothing,
      sendSuspicion: logNothing,
      handleDown: logNothing,
      handleEnded: logNothing,
      handleReplaced: logNothing,
    },
    new Metrics(),
    () => true,
    () => 1,
    () => performance.now(),
  );
  await prober.fetchReport(state);
  assert.equal(table.isDraining(state), true);
});

function createEndProber(
  fetchReport: (
    asked: number,
    handleNotice: HandleNotice,
  ) => ReturnType<EndpointCalls['fetchReport']>,
) {
  const table = new EndpointTable(logNothing, () => performance.now());
  table.applyEntry(makeEntry({held}));
  const ended: string[] = [];
  const replaced: string[] = [];
  const suspected: string[] = [];
  let asked = 0;
  const port = {
    fetchReport: (_target: unknown, handleNotice: HandleNotice) =>
      fetchReport((asked += 1), handleNotice),
  } as Partial<EndpointCalls> as EndpointCalls;
  const prober = new EndpointProber(
    table,
    port,
    {
      sendFacts: logNothing,
      sendSuspicion: id => suspected.push(id),
      handleDown: logNothing,
      handleEnded: ({id, bornAt}, reason) => {
        ended.push(`${id}@${bornAt} ${reason}`);
      },
      handleReplaced: ({id}, {claims}) => {
        replaced.push(`${id} by ${claims?.endpointId}`);
        table.removeReplaced(id);
      },
    },
    new Metrics(),
    () => true,
    () => 195,
    () => performance.now(),
  );
  const bornAt = table.find('e1')!.bornAt;
  const countAsked = () => asked;
  return {prober, table, ended, replaced, suspected, bornAt, countAsked};
}

function makeReport(bornAt: number): EndpointReport {
  return {bornAt, orderCount: 1, isBusy: false, held, memoryFill: 0};
}

for (const [code, count] of [
  [EndpointErrorCode.NotListening, 2],
  [EndpointErrorCode.Unreachable, 0],
  [EndpointErrorCode.TimedOut, 0],
] as const) {
  test(`a probe that fails as ${code} shows ${count > 0 ? 'an' : 'no'} end`, async () => {
    const error = makeEndpointError(code, 'failed');
    const fleet = createEndProber(() => Promise.resolve(Result.err(error)));
    await fleet.prober.probe('e1');
    assert.equal(fleet.ended.length, count);
  });
}

test('a report of a newer incarnation shows the end of the one before', async () => {
  const fleet = createEndProber(() =>
    Promise.resolve(Result.ok(makeReport(fleet.bornAt + 1))),
  );
  await fleet.prober.probe('e1');
  assert.deepEqual(fleet.ended, [`e1@${fleet.bornAt} it has started again`]);
});

test('an answer from before a break does not stand for a probe', async () => {
  const fleet = createEndProber(() =>
    Promise.resolve(Result.ok(makeReport(fleet.bornAt))),
  );
  await fleet.prober.probe('e1');
  await fleet.prober.probe('e1');
  assert.equal(fleet.countAsked(), 1);
  await fleet.prober.probe('e1', performance.now());
  assert.equal(fleet.countAsked(), 2);
});

function makeRefusal(claims: ProcessClaims) {
  const code = EndpointErrorCode.Malformed;
  const error = makeEndpointError(code, 'status 421', undefined, claims);
  return Promise.resolve(Result.err<EndpointReport, EndpointError>(error));
}

// The refusal was a failed probe, after which the address was asked again and again.
test('an endpoint whose address another one has is not asked again', async () => {
  const claims = {isMisdirected: true, endpointId: 'e2'};
  const fleet = createEndProber(() => makeRefusal(claims));
  await fleet.prober.probe('e1');
  fleet.prober.probeFailing();
  await fleet.prober.probe('e1');
  assert.deepEqual(fleet.replaced, ['e1 by e2']);
  assert.equal(fleet.countAsked(), 1);
});

test('an endpoint that refuses and names itself is asked again', async () => {
  const claims = {isMisdirected: true, endpointId: 'e1'};
  const fleet = createEndProber(() => makeRefusal(claims));
  await fleet.prober.probe('e1');
  assert.deepEqual(fleet.replaced, []);
  assert.equal(fleet.countAsked(), 2);
});

// A model's endpoint that does not know for whom a call is answers it.
test('the report of another model is not that of the endpoint that was asked', async () => {
  const fleet = createEndProber(() =>
    Promise.resolve(
      Result.ok({...makeReport(fleet.bornAt + 1), kind: 'other card'}),
    ),
  );
  const state = fleet.table.find('e1')!;
  await fleet.prober.probe('e1');
  assert.deepEqual(fleet.replaced, ['e1 by undefined']);
  assert.equal(state.bornAt, fleet.bornAt);
});

// A peer has told of a start that is listed at another address by now.
test('an answer at an old address tells nothing of a later start', async () => {
  const claims = {isMisdirected: true, endpointId: 'e2'};
  const fleet = createEndProber(() => makeRefusal(claims));
  const facts = {id: 'e1', bornAt: fleet.bornAt + 1, orderCount: 0, held};
  fleet.table.applyReport(facts);
  await fleet.prober.probe('e1');
  assert.deepEqual(fleet.replaced, []);
});

test('what the head of an answer of another endpoint states is not applied', async () => {
  const fleet = createEndProber((_asked, handleNotice) => {
    const claims = {isMisdirected: true, endpointId: 'e2'};
    handleNotice({isLeaving: true, pauseMilliseconds: 2000}, claims);
    return makeRefusal(claims);
  });
  const state = fleet.table.find('e1')!;
  await fleet.prober.fetchReport(state);
  assert.equal(fleet.table.isDraining(state), false);
  assert.equal(fleet.table.findPauseEnd(state), undefined);
});
