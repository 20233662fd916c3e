import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {Result} from 'true-myth';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import {EndpointProber} from '../src/fleet/endpoint_prober.js';
import {Metrics} from '../src/log/metrics.js';
import {
  EndpointErrorCode,
  makeEndpointError,
  type EndpointCalls,
  type EndpointReport,
} from '../src/ports/index.js';
import {makeEntry} from './make_entry.js';

const logNothing = () => undefined;
const held = {first: 0, end: 8};

/** Probes of one endpoint, whose reports are as old as the lag given. */
function makeProbes(
  getFill: (askedAt: number) => number | undefined,
  isJuror = true,
  ids: readonly string[] = ['e1'],
) {
  const getNow = () => performance.now();
  const table = new EndpointTable(logNothing, getNow);
  for (const id of ids) {
    table.applyEntry(makeEntry({id, address: `${id}:1`, held}));
  }
  const calls = {asked: 0};
  const fetchReport = () => {
    calls.asked += 1;
    const memoryFill = getFill(getNow());
    if (memoryFill === undefined) {
      const code = EndpointErrorCode.Unreachable;
      return Promise.resolve(Result.err(makeEndpointError(code, 'refused')));
    }
    const report = {bornAt: 1, orderCount: 1, isBusy: false, held, memoryFill};
    return Promise.resolve(Result.ok(report as EndpointReport));
  };
  const port = {fetchReport} as Partial<EndpointCalls> as EndpointCalls;
  const accused: string[] = [];
  const listeners = {
    sendFacts: logNothing,
    sendSuspicion: (id: string) => accused.push(id),
    handleDown: logNothing,
  };
  const probes = new EndpointProber(
    table,
    port,
    listeners,
    new Metrics(),
    () => isJuror,
    () => 1,
    getNow,
  );
  return {probes, table, accused, calls};
}

// Two chains lost their streams at once: the third one's memory fills within
// 100 ms, and its endpoints' reports show it 200 ms later.
test('an endpoint that has just filled up is not found failing', async () => {
  const filledAt = performance.now();
  const {probes, accused} = makeProbes(askedAt =>
    askedAt - filledAt < 200 ? 0.3 : 0.95,
  );
  const checks: Promise<void>[] = [];
  for (let i = 0; i < 4; i += 1) {
    checks.push(probes.checkRefusal('e1', 'status 503', held));
    await waitMilliseconds(20);
  }
  await Promise.all(checks);
  assert.deepEqual(accused, []);
});

test('an endpoint that refuses with room left is found failing', async () => {
  const {probes, accused} = makeProbes(() => 0.3);
  await probes.checkRefusal('e1', 'status 503', held);
  await probes.checkRefusal('e1', 'status 503', held);
  assert.deepEqual(accused, ['e1']);
});

// 128 VMs find an endpoint down at once; each word of one made all others ask,
// fail at once and send theirs.
test('words of many VMs do not make this one ask all the time', async () => {
  const {probes, table, accused, calls} = makeProbes(() => undefined, true);
  const state = table.find('e1')!;
  for (let i = 0; i < 100; i += 1) await probes.checkSuspicion(state);
  assert.ok(calls.asked <= 2, `${calls.asked} questions`);
  assert.ok(accused.length <= 2, `${accused.length} words`);
});

test('a VM that is no juror does not ask for the word of others', async () => {
  const {probes, table, calls} = makeProbes(() => 0.3, false);
  assert.equal(await probes.checkSuspicion(table.find('e1')!), false);
  assert.equal(calls.asked, 0);
});

// A VM that is cut off accused all 103 endpoints to 127 others, which all asked
// all of them.
test('a VM that reaches hardly any endpoint accuses none', async () => {
  const ids = Array.from({length: 40}, (_, index) => `e${index}`);
  const {probes, accused} = makeProbes(() => undefined, true, ids);
  await Promise.all(ids.map(id => probes.probe(id)));
  const told = accused.length;
  assert.ok(told <= 20, `${told} words`);
});
