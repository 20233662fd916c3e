import type {
  EndpointId,
  Instant,
  Random,
  StageTarget,
} from '@zinniaspindle/shared';
import type {Result} from 'true-myth';
import type {PlanChain} from '../admission/state.js';
import type {ChainPlan, ChainQuery} from '../routing/chain_query.js';
import type {RoutingError} from '../routing/errors.js';

/** What is left of a request whose chain lost a stage. */
export interface LostChain {
  readonly query: ChainQuery;
  readonly tokensDelivered: number;
  readonly excluded: ReadonlySet<EndpointId>;
  readonly keep: readonly StageTarget[];
}

/** Builds the query for the remaining tokens of a request. */
export function buildRemainingQuery(lost: LostChain): ChainQuery {
  const {query, tokensDelivered} = lost;
  return {
    ...query,
    promptTokens: query.promptTokens + tokensDelivered,
    tokensLeft: Math.max(1, query.tokensLeft - tokensDelivered),
    excluded: new Set([...query.excluded, ...lost.excluded]),
    keep: lost.keep,
  };
}

/**
 * Plans the replacement of failed stages. The other stages are kept with their
 * cache; if no endpoint can fill the gap, a new chain is planned.
 */
export function planReplacement(
  lost: LostChain,
  planChain: PlanChain,
  now: Instant,
  random: Random,
): Result<ChainPlan, RoutingError> {
  const query = buildRemainingQuery(lost);
  const replaced = planChain(query, now, random);
  if (replaced.isOk || lost.keep.length === 0) return replaced;
  return planChain({...query, keep: []}, now, random);
}
