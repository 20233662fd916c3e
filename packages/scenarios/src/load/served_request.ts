import type {Instant} from '@zinniaspindle/shared';
import type {ChainPlan, StageLoad} from '@zinniaspindle/decisions';
import type {EngineAttempt} from './engine_model.js';
import type {LoadRequest} from './workload.js';

/** A request that one entry VM answers. */
export interface Served {
  readonly request: LoadRequest;
  attempt: EngineAttempt | undefined;
  plan: ChainPlan | undefined;
  /** What the fleet view was told of the present attempt. */
  work: readonly StageLoad[];
  tokensGiven: number;
  firstTokenAt: Instant;
  lastTokenAt: Instant;
  attemptHasToken: boolean;
  readonly windows: Map<number, number>;
}

/** Creates the state of a request that has not started. */
export function createServed(request: LoadRequest): Served {
  return {
    request,
    attempt: undefined,
    plan: undefined,
    work: [],
    tokensGiven: 0,
    firstTokenAt: 0,
    lastTokenAt: 0,
    attemptHasToken: false,
    windows: new Map(),
  };
}
