import {
  canRetry,
  createRetryBudget,
  recordFirstAttempt,
  takeMove,
  takeRetry,
  type RetryBudget,
  type RetryBudgetOptions,
  type RetryDenial,
} from '@zinniaspindle/decisions';
import type {Result} from 'true-myth';
import type {GatewaySettings} from '../ports/index.js';

/**
 * Share of the fleet's allowance that is used: VMs may count the fleet
 * differently.
 */
const allowanceShare = 0.85;
/** Minimum fleet size that is assumed, since some peers may be unknown. */
const minVms = 12;

/**
 * Retry budgets by service; each VM gets an equal share of the fleet's budget.
 */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly bounds: GatewaySettings['bounds'],
    private readonly countVms: () => number,
  ) {}

  /** Records a new request, which adds to the budget of its service. */
  recordRequest(service: string): void {
    const options = this.deriveOptions();
    recordFirstAttempt(this.getBudget(service, options), options);
  }

  /** Takes one retry from the budget; returns false when it is used up. */
  takeRetry(service: string): boolean {
    const budget = this.getBudget(service, this.deriveOptions());
    if (!canRetry(budget)) return false;
    takeRetry(budget);
    return true;
  }

  /** Takes one retry together with a place, or neither. */
  takeMove<Place>(
    service: string,
    reservePlace: () => Place | undefined,
  ): Result<Place, RetryDenial> {
    const budget = this.getBudget(service, this.deriveOptions());
    return takeMove(budget, reservePlace);
  }

  private getBudget(service: string, options: RetryBudgetOptions): RetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = createRetryBudget(options);
      this.budgets.set(service, budget);
    }
    return budget;
  }

  private deriveOptions(): RetryBudgetOptions {
    const vms = Math.max(minVms, this.countVms());
    const reserve = (this.bounds.retrySlack / vms) * allowanceShare;
    const share = this.bounds.retryRatio * allowanceShare;
    return {retryRatio: share, initialRetries: reserve, maxAvailable: reserve};
  }
}
