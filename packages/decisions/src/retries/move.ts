import {Result} from 'true-myth';
import {canRetry, takeRetry, type RetryBudget} from './retry_budget.js';
import {RetryDenial} from './retry_denial.js';

/**
 * Takes what a request needs to leave its running attempt for another one: a
 * retry of the budget and a place. Only a request that has both may give the
 * attempt up; otherwise neither is taken.
 * @param reservePlace reserves a place, if there is one now
 */
export function takeMove<Place>(
  budget: RetryBudget,
  reservePlace: () => Place | undefined,
): Result<Place, RetryDenial> {
  if (!canRetry(budget)) return Result.err(RetryDenial.Budget);
  const place = reservePlace();
  if (place === undefined) return Result.err(RetryDenial.Place);
  takeRetry(budget);
  return Result.ok(place);
}
