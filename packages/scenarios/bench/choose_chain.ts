/** Measures the processor time of one chain choice at the size of one model. */
import {
  EndpointRole,
  ObjectKind,
  toId,
  type EndpointObject,
} from '@zinniaspindle/shared';
import {
  applyLoadReport,
  chooseChain,
  createFleetView,
  recordStart,
  setFleetObjects,
  type ChainQuery,
} from '@zinniaspindle/decisions';
import {makeSeededRandom} from '../src/index.js';

const endpointCount = 450;
const dataCentreCount = 26;
const layerCount = 48;
const heldLayers = [4, 8, 12, 16];
const warmChoices = 2000;
const choices = 5000;
const seed = 1;

const random = makeSeededRandom(seed);

function buildEndpoint(index: number): EndpointObject {
  const held = heldLayers[index % heldLayers.length]!;
  const ranges = layerCount / held;
  const first = (Math.floor(index / heldLayers.length) % ranges) * held;
  return {
    kind: ObjectKind.Endpoint,
    name: toId(`e${index}`),
    labels: {},
    address: '127.0.0.1:1',
    dataCentre: toId(`dc${Math.floor(random() * dataCentreCount)}`),
    accelerator: `kind${index % heldLayers.length}`,
    model: toId('demo'),
    layers: {first, end: first + held},
    role: EndpointRole.Mixed,
    rates: {
      prefillTokensPerSecond: 20_000,
      stepMilliseconds: 3,
      stepMillisecondsPerStream: 0.1,
      slots: 48,
    },
    checksFencing: true,
    forwards: true,
  };
}

const endpoints = Array.from({length: endpointCount}, (_, index) =>
  buildEndpoint(index),
);
const view = createFleetView(toId('dc0'));
setFleetObjects(view, endpoints, []);
for (const endpoint of endpoints) {
  applyLoadReport(view, {
    endpoint: endpoint.name,
    time: 1,
    running: Math.floor(random() * 40),
    queued: 0,
    queuedPrefillTokens: Math.floor(random() * 2000),
    leaving: false,
  });
}

const query: ChainQuery = {
  model: toId('demo'),
  layerCount,
  isAllowed: () => true,
  promptTokens: 600,
  prefixes: [
    {hash: 'a', tokens: 200},
    {hash: 'b', tokens: 400},
  ],
  tokensLeft: 300,
  deadline: 60_000,
  targetGapMilliseconds: 27,
  excluded: new Set(),
  dataCentre: toId('dc0'),
  keep: [],
};

function runChoices(count: number): number {
  const start = process.cpuUsage();
  for (let i = 0; i < count; i += 1) {
    const now = 2 + i * 0.1;
    const plan = chooseChain(view, query, now, random).unwrapOrElse(error => {
      throw error;
    });
    if (i % 4 === 0) recordStart(view, plan.stageLoads, now);
  }
  const used = process.cpuUsage(start);
  return (used.user + used.system) / count;
}

runChoices(warmChoices);
const microseconds = runChoices(choices);
console.log(
  `${choices} choices over ${endpointCount} endpoints in ${dataCentreCount} data centres: ${microseconds.toFixed(1)} µs of processor time each`,
);
