import assert from 'node:assert/strict';
import {test} from 'node:test';
import {IntakeKind, IntakeScope} from '@zinniaspindle/decisions';
import {GatewayEvent} from '@zinniaspindle/shared';
import {EndpointProber} from '../src/fleet/endpoint_prober.js';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import {Counter, Metrics} from '../src/log/metrics.js';
import type {EndpointCalls} from '../src/ports/index.js';
import {makeEntry} from './make_entry.js';

const logNothing = () => undefined;
const itemExcess = {
  kind: IntakeKind.PartialEvent,
  scope: IntakeScope.Item,
  amount: 70_000,
  limit: 65_536,
};

/** Makes a prober of one endpoint, at a time that the test sets. */
function makeProber() {
  const clock = {now: 10_000};
  const lines: GatewayEvent[] = [];
  const suspected: string[] = [];
  const writeEvent = (event: GatewayEvent) => lines.push(event);
  const table = new EndpointTable(writeEvent, () => clock.now);
  table.applyEntry(makeEntry({held: {first: 0, end: 8}}));
  const listeners = {
    sendFacts: logNothing,
    sendSuspicion: (id: string) => suspected.push(id),
    handleDown: logNothing,
    handleEnded: logNothing,
    handleReplaced: logNothing,
  };
  const metrics = new Metrics();
  const prober = new EndpointProber(
    table,
    {} as EndpointCalls,
    listeners,
    metrics,
    () => true,
    () => 1,
    () => clock.now,
    writeEvent,
  );
  return {prober, table, clock, lines, suspected, metrics};
}

test('an endpoint that exceeds a bound gets no new requests for a while', () => {
  const {prober, table, clock} = makeProber();
  prober.recordOverrun('e1', itemExcess, 'request r1');
  assert.ok(table.find('e1')!.suspectUntil > clock.now + 1000);
});

test('a second answer beyond a bound is told to the other VMs', () => {
  const {prober, suspected} = makeProber();
  prober.recordOverrun('e1', itemExcess, 'request r1');
  assert.deepEqual(suspected, []);
  prober.recordOverrun('e1', itemExcess, 'request r2');
  assert.deepEqual(suspected, ['e1']);
});

test('an endpoint that meets the bound of the whole VM is not suspected', () => {
  const {prober, table, clock} = makeProber();
  const excess = {...itemExcess, scope: IntakeScope.Vm};
  prober.recordOverrun('e1', excess, 'request r1');
  assert.ok(table.find('e1')!.suspectUntil <= clock.now);
});

test('answers beyond a bound have a line a second and are all counted', () => {
  const {prober, clock, lines, metrics} = makeProber();
  for (let i = 0; i < 30; i += 1) {
    prober.recordOverrun('e1', itemExcess, `request r${i}`);
    clock.now += 100;
  }
  const written = lines.filter(line => line === GatewayEvent.EndpointOverran);
  assert.equal(written.length, 3);
  assert.match(metrics.render(), new RegExp(`${Counter.Overruns} 30\n`));
});

test('an endpoint whose success has no seal is left out by the next attempt', () => {
  const {prober, table, clock} = makeProber();
  prober.recordUnsealed('e1', 'answer with status 200 has no seal');
  assert.ok(table.find('e1')!.suspectUntil > clock.now);
});
