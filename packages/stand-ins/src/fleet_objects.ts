import {createHash} from 'node:crypto';
import {
  type AccountObject,
  type DataCentreId,
  type EndpointId,
  type EndpointObject,
  type EndpointRates,
  EndpointRole,
  type LayerRange,
  type LinkObject,
  type ModelName,
  ObjectKind,
  type PipelineName,
  type PipelineObject,
  type ServiceName,
  type ServiceObject,
  toId,
} from '@zinniaspindle/shared';

const bytesPerGigabit = 125_000_000;

/** An accelerator kind and what it can do. */
export interface AcceleratorKind {
  readonly name: string;
  readonly rates: EndpointRates;
}

/** Mixed kinds, from the fastest to the slowest. */
export const acceleratorKinds: readonly AcceleratorKind[] = [
  makeKind('large', 40_000, 3, 0.1, 32),
  makeKind('medium', 20_000, 5, 0.2, 16),
  makeKind('small', 10_000, 8, 0.4, 12),
  makeKind('old', 5_000, 12, 0.8, 8),
];

function makeKind(
  name: string,
  prefillTokensPerSecond: number,
  stepMilliseconds: number,
  stepMillisecondsPerStream: number,
  slots: number,
): AcceleratorKind {
  const rates = {
    prefillTokensPerSecond,
    stepMilliseconds,
    stepMillisecondsPerStream,
    slots,
  };
  return {name, rates};
}

/** Where an endpoint stands and what it is to hold. */
export interface EndpointPlan {
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly kind: AcceleratorKind;
  readonly model: ModelName;
  readonly layers: LayerRange;
  readonly checksFencing: boolean;
}

/** The shape of a fleet of endpoints. */
export interface FleetShape {
  readonly model: ModelName;
  readonly layerCount: number;
  readonly ranges: number;
  readonly replicas: number;
  readonly dataCentres: number;
}

/** Two replicas of three ranges over three data centres. */
export const defaultFleetShape: FleetShape = {
  model: toId('demo'),
  layerCount: 24,
  ranges: 3,
  replicas: 2,
  dataCentres: 3,
};

/** Names the data centres of a fleet: dc1, dc2 and so on. */
export function listDataCentres(count: number): DataCentreId[] {
  const names: DataCentreId[] = [];
  for (let number = 1; number <= count; number += 1) {
    names.push(toId(`dc${number}`));
  }
  return names;
}

/** Plans the endpoints e1, e2 and so on; every second one checks fencing. */
export function planEndpoints(shape: FleetShape): EndpointPlan[] {
  const plans: EndpointPlan[] = [];
  const dataCentres = listDataCentres(shape.dataCentres);
  for (let replica = 0; replica < shape.replicas; replica += 1) {
    for (let range = 0; range < shape.ranges; range += 1) {
      const number = plans.length;
      plans.push({
        endpoint: toId(`e${number + 1}`),
        dataCentre: dataCentres[(range + replica) % dataCentres.length]!,
        kind: acceleratorKinds[number % acceleratorKinds.length]!,
        model: shape.model,
        layers: computeRange(shape, range),
        checksFencing: number % 2 === 0,
      });
    }
  }
  return plans;
}

function computeRange(shape: FleetShape, range: number): LayerRange {
  const {layerCount, ranges} = shape;
  return {
    first: Math.floor((layerCount * range) / ranges),
    end: Math.floor((layerCount * (range + 1)) / ranges),
  };
}

/** Makes the object that an operator publishes for an endpoint. */
export function makeEndpointObject(
  plan: EndpointPlan,
  address: string,
): EndpointObject {
  return {
    kind: ObjectKind.Endpoint,
    name: plan.endpoint,
    address,
    dataCentre: plan.dataCentre,
    accelerator: plan.kind.name,
    model: plan.model,
    layers: plan.layers,
    role: EndpointRole.Mixed,
    rates: plan.kind.rates,
    checksFencing: plan.checksFencing,
    forwards: true,
    labels: {model: plan.model, accelerator: plan.kind.name},
  };
}

/** Makes the pipeline "letters", for every account labelled role=caller. */
export function makePipelineObject(shape: FleetShape): PipelineObject {
  return {
    kind: ObjectKind.Pipeline,
    name: toId<PipelineName>('letters'),
    model: shape.model,
    layerCount: shape.layerCount,
    endpointSelector: `model=${shape.model}`,
    accountSelector: 'role=caller',
    maxTokens: 1024,
    labels: {},
  };
}

/** Makes a plain service for every account labelled role=caller. */
export function makeServiceObject(
  name: ServiceName,
  addresses: readonly string[],
  hasLookup: boolean,
): ServiceObject {
  return {
    kind: ObjectKind.Service,
    name,
    addresses,
    accountSelector: 'role=caller',
    hasLookup,
    callMilliseconds: 2000,
    labels: {},
  };
}

/** Makes the links between all data centres. */
export function makeLinkObjects(
  dataCentres: readonly DataCentreId[],
): LinkObject[] {
  const links: LinkObject[] = [];
  for (const [index, from] of dataCentres.entries()) {
    for (const to of dataCentres.slice(index + 1)) {
      links.push({
        kind: ObjectKind.Link,
        name: `${from}-${to}`,
        between: [from, to],
        delayMilliseconds: 0.25,
        bytesPerSecond: 10 * bytesPerGigabit,
        labels: {},
      });
    }
  }
  return links;
}

/** A client account with the bearer token that only tests know. */
export interface AccountAccess {
  readonly token: string;
  readonly object: AccountObject;
}

/** Makes a client account; its token is the name followed by "-token". */
export function makeAccount(name: string, isOperator: boolean): AccountAccess {
  const token = `${name}-token`;
  const digest = createHash('sha256').update(token).digest('hex');
  return {
    token,
    object: {
      kind: ObjectKind.Account,
      name: toId(name),
      tokenDigests: [digest],
      weight: 1,
      tokensPerSecond: 10_000,
      operator: isOperator,
      labels: {role: isOperator ? 'operator' : 'caller'},
    },
  };
}
