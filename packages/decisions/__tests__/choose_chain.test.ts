import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  EndpointRole,
  isWholeChain,
  ObjectKind,
  toId,
  type EndpointObject,
  type Random,
  type VmId,
} from '@zinniaspindle/shared';
import {
  applyDigestUses,
  applyLoadReport,
  chooseChain,
  countStreams,
  createFleetView,
  recordEnd,
  recordPrefixes,
  recordStart,
  RoutingErrorCode,
  setFailing,
  setFleetObjects,
  setLeaving,
  type ChainQuery,
  type FleetView,
} from '../src/index.js';

const layerCount = 12;

function makeEndpoint(
  name: string,
  first: number,
  end: number,
  dataCentre = 'a',
): EndpointObject {
  return {
    kind: ObjectKind.Endpoint,
    name: toId(name),
    labels: {},
    address: `127.0.0.1:${name.length}`,
    dataCentre: toId(dataCentre),
    accelerator: 'small',
    model: toId('demo'),
    layers: {first, end},
    role: EndpointRole.Mixed,
    rates: {
      prefillTokensPerSecond: 10_000,
      stepMilliseconds: 3,
      stepMillisecondsPerStream: 0.1,
      slots: 32,
    },
    checksFencing: true,
    forwards: true,
  };
}

function makeView(endpoints: readonly EndpointObject[]): FleetView {
  const view = createFleetView(toId('a'));
  setFleetObjects(view, endpoints, []);
  return view;
}

function makeQuery(changes: Partial<ChainQuery> = {}): ChainQuery {
  return {
    model: toId('demo'),
    layerCount,
    isAllowed: () => true,
    promptTokens: 400,
    prefixes: [],
    tokensLeft: 50,
    deadline: 60_000,
    targetGapMilliseconds: 27,
    excluded: new Set(),
    dataCentre: toId('a'),
    keep: [],
    ...changes,
  };
}

const getHalf: Random = () => 0.5;

function listNames(view: FleetView, query = makeQuery()): string[] {
  const plan = chooseChain(view, query, 1000, getHalf).unwrapOr(undefined);
  return (plan?.stages ?? []).map(stage => stage.endpoint);
}

const rangeArbitrary = fc
  .tuple(fc.nat(layerCount - 1), fc.integer({min: 1, max: 6}))
  .map(([first, length]) => ({
    first,
    end: Math.min(layerCount, first + length),
  }));

const partArbitrary = fc.record({
  layers: rangeArbitrary,
  dataCentre: fc.constantFrom('a', 'b'),
  leaving: fc.boolean(),
  failing: fc.boolean(),
  excluded: fc.boolean(),
});

test('every chain covers all layers with usable endpoints', () => {
  const property = fc.property(
    fc.array(partArbitrary, {minLength: 4, maxLength: 40}),
    fc.integer(),
    (parts, seed) => {
      const endpoints = parts.map(({layers, dataCentre}, index) =>
        makeEndpoint(`e${index}`, layers.first, layers.end, dataCentre),
      );
      const view = makeView(endpoints);
      const banned = new Set<string>();
      const excluded = new Set<EndpointObject['name']>();
      for (const [index, part] of parts.entries()) {
        const {name} = endpoints[index]!;
        setLeaving(view, name, part.leaving);
        if (part.failing) setFailing(view, name, 2000);
        if (part.excluded) excluded.add(name);
        if (part.leaving || part.failing || part.excluded) banned.add(name);
      }
      let state = Math.abs(seed % 97);
      const takeRandom = () => (state = (state * 31 + 7) % 97) / 97;
      const result = chooseChain(view, makeQuery({excluded}), 1000, takeRandom);
      if (result.isErr) {
        assert.equal(result.error.code, RoutingErrorCode.NoChain);
        return;
      }
      const {stages} = result.value;
      assert.ok(
        isWholeChain(
          stages.map(stage => stage.layers),
          layerCount,
        ),
      );
      for (const stage of stages) assert.ok(!banned.has(stage.endpoint));
    },
  );
  fc.assert(property, {seed: 11, numRuns: 300});
});

test('the error of a gap in the layers names the gap', () => {
  const view = makeView([makeEndpoint('x', 0, 6), makeEndpoint('y', 7, 12)]);
  const result = chooseChain(view, makeQuery(), 0, getHalf);
  assert.ok(result.isErr);
  assert.match(result.error.message, /layers 0 to 6 of 12/);
});

test('streams started since the last report count as load', () => {
  const view = makeView([makeEndpoint('x', 0, 12), makeEndpoint('y', 0, 12)]);
  assert.deepEqual(listNames(view), ['x']);
  recordStart(view, [{endpoint: toId('x'), prefillTokens: 400}], 1000);
  assert.deepEqual(listNames(view), ['y']);
});

test('a report replaces the changes before its time', () => {
  const view = makeView([makeEndpoint('x', 0, 12)]);
  const stageLoads = [
    {endpoint: toId<EndpointObject['name']>('x'), prefillTokens: 1},
  ];
  recordStart(view, stageLoads, 100);
  recordStart(view, stageLoads, 300);
  const report = {running: 5, queued: 1, queuedPrefillTokens: 0};
  const leaving = false;
  applyLoadReport(view, {endpoint: toId('x'), time: 200, leaving, ...report});
  assert.equal(countStreams(view.endpoints.get(toId('x'))!), 7);
  recordEnd(view, stageLoads, true, 400);
  assert.equal(countStreams(view.endpoints.get(toId('x'))!), 6);
});

test('endpoint uses in digests of peers count as load changes', () => {
  const view = makeView([makeEndpoint('x', 0, 12)]);
  const digest = {
    vm: toId<VmId>('p'),
    ready: true,
    leaving: false,
    load: 0,
    nextOffset: 0,
    demands: [],
    leavingEndpoints: [],
    failingEndpoints: [],
  };
  const use = {endpoint: toId<EndpointObject['name']>('x'), prefillTokens: 0};
  applyDigestUses(view, {...digest, time: 10, uses: [{...use, running: 4}]});
  assert.equal(countStreams(view.endpoints.get(use.endpoint)!), 4);
  applyDigestUses(view, {...digest, time: 20, uses: []});
  assert.equal(countStreams(view.endpoints.get(use.endpoint)!), 0);
});

test('a cached prefix attracts a request until the wait is too long', () => {
  const view = makeView([makeEndpoint('x', 0, 12), makeEndpoint('y', 0, 12)]);
  const prefixes = [{hash: 'h', tokens: 380}];
  recordPrefixes(view, toId('y'), ['h'], 1000);
  assert.deepEqual(listNames(view, makeQuery({prefixes})), ['y']);
  recordStart(view, [{endpoint: toId('y'), prefillTokens: 9000}], 1000);
  assert.deepEqual(listNames(view, makeQuery({prefixes})), ['x']);
});

test('kept stages stay and only the gap is filled', () => {
  const view = makeView([
    makeEndpoint('x', 0, 6),
    makeEndpoint('y', 6, 12),
    makeEndpoint('z', 6, 12),
    makeEndpoint('w', 0, 12),
  ]);
  setLeaving(view, toId('x'), true);
  const layers = {first: 0, end: 6};
  const keep = [
    {endpoint: toId<EndpointObject['name']>('x'), address: '', layers},
  ];
  const excluded = new Set([toId<EndpointObject['name']>('y')]);
  assert.deepEqual(listNames(view, makeQuery({keep, excluded})), ['x', 'z']);
});
