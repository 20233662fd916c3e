import type {PlannedEndpoint, StageModel} from '@zinniaspindle/decisions';
import type {LayerRange} from '@zinniaspindle/shared';

/** A model of 80 layers, of which any kind of endpoint holds a few. */
export const model: StageModel = {
  layerCount: 80,
  layerMegabytes: 1750,
  tokenMegabytesPerLayer: 0.00822,
  stepMilliseconds: 0.85,
  loadsAtOnce: 6,
};

/** Kinds of endpoints. */
export const kinds = {
  a100s: {sizeMegabytes: 36_000, pace: 3.1},
  l4: {sizeMegabytes: 21_600, pace: 16},
  t4: {sizeMegabytes: 14_400, pace: 15},
};

/** Makes an endpoint that is not loading. */
export function makeEndpoint(
  id: string,
  kind: keyof typeof kinds,
  dataCentre: string,
  held?: LayerRange,
): PlannedEndpoint {
  const address = `${id}:1`;
  return {
    ...{
      id,
      address,
      dataCentre,
      slots: 134,
      isLoading: false,
      isReachable: true,
    },
    ...kinds[kind],
    held,
  };
}

/** Makes the endpoints of a data centre. */
export function makeCentre(
  name: string,
  counts: Readonly<Record<keyof typeof kinds, number>>,
): PlannedEndpoint[] {
  const endpoints: PlannedEndpoint[] = [];
  for (const kind of Object.keys(kinds) as Array<keyof typeof kinds>) {
    for (let i = 0; i < counts[kind]; i += 1) {
      endpoints.push(makeEndpoint(`${name}-${kind}-${i}`, kind, name));
    }
  }
  return endpoints;
}
