import type {ActionKey} from './ids.js';

/** Body of POST /v1/actions at a plain service, which runs the action. */
export interface ServiceCall {
  readonly key: ActionKey;
  readonly action: string;
  readonly body: string;
}

/** Response to a call that the service ran. */
export interface ServiceResult {
  readonly key: ActionKey;
  readonly result: string;
}

/** Response to GET /v1/actions/{key}, at services with hasLookup. */
export interface ServiceLookup {
  readonly executed: boolean;
  readonly result?: string;
}
