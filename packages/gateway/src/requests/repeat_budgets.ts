import {
  canRetry,
  createRetryBudget,
  recordFirstAttempt,
  takeRetry,
  type RetryBudget,
  type RetryBudgetOptions,
} from '@zinniaspindle/decisions';
import type {GatewaySettings} from '../ports/index.js';

/** Share of the fleet's allowance that is used, for counts that differ. */
const usedShare = 0.85;
/** VMs among which the allowance is shared at least, should peers be unknown. */
const leastVms = 12;

/** Budgets of repeated sends, one a service, this VM's part of the fleet's. */
export class RepeatBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly bounds: GatewaySettings['bounds'],
    private readonly countVms: () => number,
  ) {}

  /** Records a request for a service. */
  recordFresh(service: string): void {
    const options = this.deriveOptions();
    recordFirstAttempt(this.getBudget(service, options), options);
  }

  /** Takes one repeated send; false when the budget is used up. */
  takeRepeat(service: string): boolean {
    const budget = this.getBudget(service, this.deriveOptions());
    if (!canRetry(budget)) return false;
    takeRetry(budget);
    return true;
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
    const vms = Math.max(leastVms, this.countVms());
    const reserve = (this.bounds.retrySlack / vms) * usedShare;
    const share = this.bounds.retryRatio * usedShare;
    return {retryRatio: share, initialRetries: reserve, maxAvailable: reserve};
  }
}
