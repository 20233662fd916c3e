import {
  EndpointRole,
  ObjectKind,
  toId,
  type AccountObject,
  type EndpointObject,
  type LinkObject,
  type ModelName,
} from '@zinniaspindle/shared';

/** One kind of accelerator, by what one layer costs. */
interface Accelerator {
  readonly name: string;
  readonly stepMilliseconds: number;
  readonly stepMillisecondsPerStream: number;
  /** Prompt tokens a second through one layer. */
  readonly prefillTokensPerSecond: number;
  readonly slots: number;
}

/** Endpoints of one kind that share the layers of a model evenly. */
interface Group {
  readonly accelerator: Accelerator;
  readonly heldLayers: number;
  readonly count: number;
}

/** A model with the endpoints that hold it. */
export interface LoadModel {
  readonly name: ModelName;
  readonly layerCount: number;
  readonly groups: readonly Group[];
}

const fast: Accelerator = {
  name: 'fast',
  stepMilliseconds: 0.3,
  stepMillisecondsPerStream: 0.024,
  prefillTokensPerSecond: 400_000,
  slots: 40,
};
const middle: Accelerator = {
  name: 'middle',
  stepMilliseconds: 0.38,
  stepMillisecondsPerStream: 0.028,
  prefillTokensPerSecond: 240_000,
  slots: 32,
};
const slow: Accelerator = {
  name: 'slow',
  stepMilliseconds: 0.45,
  stepMillisecondsPerStream: 0.04,
  prefillTokensPerSecond: 160_000,
  slots: 24,
};
const small: Accelerator = {
  name: 'small',
  stepMilliseconds: 0.5,
  stepMillisecondsPerStream: 0.05,
  prefillTokensPerSecond: 80_000,
  slots: 16,
};

/** The models of the load runs. */
export const loadModels: readonly LoadModel[] = [
  {
    name: toId('letters'),
    layerCount: 32,
    groups: [
      {accelerator: fast, heldLayers: 16, count: 6},
      {accelerator: middle, heldLayers: 8, count: 10},
      {accelerator: slow, heldLayers: 8, count: 8},
      {accelerator: small, heldLayers: 4, count: 4},
    ],
  },
  {
    name: toId('summaries'),
    layerCount: 24,
    groups: [
      {accelerator: middle, heldLayers: 8, count: 6},
      {accelerator: slow, heldLayers: 12, count: 6},
    ],
  },
];

/** Names of the data centres. */
export const dataCentres = ['dc0', 'dc1', 'dc2'] as const;

const interDataCentreMilliseconds = 0.25;
const bytesPerSecond = 1e9;
const slowBytesPerSecond = 1e8;

/** Builds the endpoints of every model, spread over the data centres. */
export function buildEndpoints(): EndpointObject[] {
  const endpoints: EndpointObject[] = [];
  for (const model of loadModels) {
    for (const group of model.groups) {
      for (let i = 0; i < group.count; i += 1) {
        endpoints.push(buildEndpoint(model, group, i, endpoints.length));
      }
    }
  }
  return endpoints;
}

/** Builds the links between the data centres; the last one is slow. */
export function buildLinks(): LinkObject[] {
  const links: LinkObject[] = [];
  for (let i = 0; i < dataCentres.length; i += 1) {
    const one = dataCentres[i]!;
    const other = dataCentres[(i + 1) % dataCentres.length]!;
    const isSlow = i === dataCentres.length - 1;
    links.push({
      kind: ObjectKind.Link,
      name: `${one}-${other}`,
      labels: {},
      between: [toId(one), toId(other)],
      delayMilliseconds: interDataCentreMilliseconds,
      bytesPerSecond: isSlow ? slowBytesPerSecond : bytesPerSecond,
    });
  }
  return links;
}

const largeAccounts = 3;
const accountCount = 10;

/** Builds ten client accounts, the first three of them large. */
export function buildAccounts(): AccountObject[] {
  const accounts: AccountObject[] = [];
  for (let i = 0; i < accountCount; i += 1) {
    accounts.push({
      kind: ObjectKind.Account,
      name: toId(`account${i}`),
      labels: {},
      tokenDigests: [],
      weight: i < largeAccounts ? 3 : 1,
      tokensPerSecond: 1e6,
      operator: false,
    });
  }
  return accounts;
}

/** Computes the share of the offered load that an account asks for. */
export function computeAccountShare(index: number): number {
  const large = 0.22;
  const rest = (1 - largeAccounts * large) / (accountCount - largeAccounts);
  return index < largeAccounts ? large : rest;
}

function buildEndpoint(
  model: LoadModel,
  group: Group,
  index: number,
  total: number,
): EndpointObject {
  const {accelerator, heldLayers} = group;
  const ranges = model.layerCount / heldLayers;
  const first = (index % ranges) * heldLayers;
  return {
    kind: ObjectKind.Endpoint,
    name: toId(`${model.name}-${accelerator.name}-${index}`),
    labels: {},
    address: `127.0.0.1:${10_000 + total}`,
    dataCentre: toId(dataCentres[Math.floor(index / ranges) % 3]!),
    accelerator: accelerator.name,
    model: model.name,
    layers: {first, end: first + heldLayers},
    role: EndpointRole.Mixed,
    rates: {
      prefillTokensPerSecond: accelerator.prefillTokensPerSecond / heldLayers,
      stepMilliseconds: accelerator.stepMilliseconds * heldLayers,
      stepMillisecondsPerStream:
        accelerator.stepMillisecondsPerStream * heldLayers,
      slots: accelerator.slots,
    },
    checksFencing: true,
    forwards: true,
  };
}
