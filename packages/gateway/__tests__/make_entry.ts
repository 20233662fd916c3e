import type {EndpointEntry} from '../src/ports/index.js';

/** Makes a list entry of an endpoint that serves a model. */
export function makeEntry(changes: Partial<EndpointEntry> = {}): EndpointEntry {
  return {
    id: 'e1',
    service: 'letters',
    address: '10.0.0.1:80',
    dataCentre: 'a',
    slots: 10,
    isDraining: false,
    bornAt: 1,
    kind: 'card',
    held: undefined,
    ...changes,
  };
}
