import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  EndpointRole,
  ObjectKind,
  toId,
  type EngineState,
} from '@zinniaspindle/shared';
import {
  defaultPlacementOptions,
  planPlacement,
  type ModelDemand,
  type PlacedEndpoint,
  type PlacementOptions,
} from '../src/index.js';

const role = EndpointRole.Mixed;

function makeHeld(model: string, first: number, end: number): EngineState {
  return {model: toId(model), layers: {first, end}, role};
}

function makePlaced(
  name: string,
  held: EngineState | undefined,
  dataCentre = 'a',
): PlacedEndpoint {
  const object = {
    kind: ObjectKind.Endpoint as const,
    name: toId<PlacedEndpoint['object']['name']>(name),
    labels: {},
    address: '',
    dataCentre: toId<PlacedEndpoint['object']['dataCentre']>(dataCentre),
    accelerator: 'k',
    model: held?.model ?? toId<EngineState['model']>('none'),
    layers: {first: 0, end: 4},
    role,
    rates: {
      prefillTokensPerSecond: 10_000,
      stepMilliseconds: 2,
      stepMillisecondsPerStream: 0.5,
      slots: 16,
    },
    checksFencing: true,
    forwards: true,
  };
  const placed = {object, isLeaving: false, maxLayers: 4};
  return held === undefined ? placed : {...placed, held};
}

function makeDemand(model: string, tokensPerSecond: number): ModelDemand {
  return {model: toId(model), layerCount: 8, tokensPerSecond, layerBytes: 1e9};
}

/** Makes two whole chains of model "idle" and one of "busy". */
function makeFleet(): PlacedEndpoint[] {
  return [
    makePlaced('i1', makeHeld('idle', 0, 4)),
    makePlaced('i2', makeHeld('idle', 4, 8)),
    makePlaced('i3', makeHeld('idle', 0, 4), 'b'),
    makePlaced('i4', makeHeld('idle', 4, 8), 'b'),
    makePlaced('b1', makeHeld('busy', 0, 4)),
    makePlaced('b2', makeHeld('busy', 4, 8)),
  ];
}

function planMoves(
  endpoints: readonly PlacedEndpoint[],
  changes: Partial<PlacementOptions> = {},
  storeBytesPerSecond = 1e9,
): string[] {
  const models = [makeDemand('idle', 10), makeDemand('busy', 1500)];
  const input = {models, endpoints, storeBytesPerSecond};
  const options = {...defaultPlacementOptions, ...changes};
  return planPlacement(input, options).moves.map(
    ({endpoint, wanted}) =>
      `${endpoint}:${wanted.model}:${wanted.layers.first}`,
  );
}

test('endpoints move to the model that lacks capacity', () => {
  const moves = planMoves(makeFleet());
  assert.equal(moves.length, 2);
  const layers = moves.map(move => move.split(':').at(-1)).sort();
  assert.deepEqual(layers, ['0', '4']);
});

test('the last chain of a model is kept unless the guard is disabled', () => {
  const fleet = makeFleet().filter(({object}) => !/i[34]/.test(object.name));
  assert.deepEqual(planMoves(fleet), []);
  const unguarded = planMoves(fleet, {hasChain: () => true});
  assert.notEqual(unguarded.length, 0);
});

test('a move whose load takes longer than it gains is not planned', () => {
  assert.deepEqual(planMoves(makeFleet(), {}, 1e6), []);
});

test('empty endpoints form a missing chain', () => {
  const fleet = [makePlaced('e1', undefined), makePlaced('e2', undefined)];
  const moves = planMoves(fleet, {maxLoads: 2});
  assert.deepEqual(moves.sort(), ['e1:busy:0', 'e2:busy:4']);
});

test('a new holder is placed in a data centre that has none', () => {
  const fleet = [
    makePlaced('b1', makeHeld('busy', 0, 4)),
    makePlaced('b2', makeHeld('busy', 4, 8)),
    makePlaced('x1', undefined),
    makePlaced('x2', undefined, 'b'),
  ];
  const [first] = planMoves(fleet, {maxLoads: 1});
  assert.match(first!, /^x2/);
});

test('no more moves are planned than loads may run at once', () => {
  const loading = makeHeld('busy', 0, 4);
  const fleet = makeFleet().map(one =>
    one.object.name === 'i3' ? {...one, loading} : one,
  );
  assert.deepEqual(planMoves(fleet, {maxLoads: 1}), []);
});
