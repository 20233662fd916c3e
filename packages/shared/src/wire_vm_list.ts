import type {DataCentreId, VmId} from './ids.js';

/** State of a VM on the platform's list. */
export enum ListedState {
  Leaving = 'leaving',
  Live = 'live',
}

/** The process that a listed VM runs. */
export enum ListedPurpose {
  Endpoint = 'endpoint',
  Entry = 'entry',
}

/** An entry of the platform's VM list; endpoints are listed by endpoint id. */
export interface ListedVm {
  readonly id: VmId;
  readonly purpose: ListedPurpose;
  readonly state: ListedState;
  readonly dataCentre: DataCentreId;
  /** host:port that serves callers, or the address of the engine. */
  readonly address: string;
  /** host:port that peers connect to; absent for endpoints. */
  readonly peerAddress?: string;
}

/** Response to GET /v1/vms; the list may be stale. */
export interface VmListResponse {
  readonly vms: readonly ListedVm[];
}
