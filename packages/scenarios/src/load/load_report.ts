import {computeFairRates, type RateClaim} from '@zinniaspindle/decisions';
import {buildAccounts} from './fleet.js';
import {
  Ending,
  readPercentile,
  windowMilliseconds,
  type Measures,
} from './measures.js';
import type {LoadOptions, LoadRun} from './run_load.js';

/** The figures of one load run. */
export interface LoadFigures {
  /** Tokens of requests that ended on time, over the tokens offered. */
  readonly goodOverOffered: number;
  /** The same tokens a second, over the bound. */
  readonly goodOverBound: number;
  readonly firstTokenP95: number;
  readonly requestGapP95: number;
  readonly tokenGapP95: number;
  /** Share of the admitted requests that met both targets. */
  readonly metBoth: number;
  /** Least account's goodput over its fair share. */
  readonly leastAccount: number;
  readonly retryShare: number;
  readonly refusalP95: number;
  /** Milliseconds from the fault to goodput back; -1 for never. */
  readonly recovery: number;
  readonly late: number;
  readonly lost: number;
  readonly refusals: Readonly<Record<string, number>>;
}

const recoveredShare = 0.9;
const heldMilliseconds = 1000;

/** Computes the figures of a run. */
export function computeFigures(
  options: LoadOptions,
  run: LoadRun,
): LoadFigures {
  const {measures} = run;
  const seconds = options.measuredMilliseconds / 1000;
  const good = computeSum(measures.good.values());
  return {
    goodOverOffered: good / computeSum(measures.offered.values()),
    goodOverBound: good / seconds / run.bound,
    firstTokenP95: readPercentile(measures.firstTokens, 95),
    requestGapP95: readPercentile(measures.requestGaps, 95),
    tokenGapP95: readPercentile(measures.tokenGaps, 95),
    metBoth: measures.metBoth / Math.max(1, measures.admitted),
    leastAccount: computeLeastAccount(measures, run.bound, seconds),
    retryShare: measures.retries / Math.max(1, measures.fresh),
    refusalP95: readPercentile(measures.refusalDelays, 95),
    recovery: computeRecovery(run),
    late: measures.endings.get(Ending.Late) ?? 0,
    lost: measures.endings.get(Ending.Lost) ?? 0,
    refusals: Object.fromEntries(measures.refusals),
  };
}

/** Computes the least ratio of an account's goodput to its fair share. */
function computeLeastAccount(
  measures: Measures,
  bound: number,
  seconds: number,
): number {
  const claims: RateClaim[] = [];
  for (const {name, weight} of buildAccounts()) {
    const demand = (measures.offered.get(name) ?? 0) / seconds;
    claims.push({account: name, weight, demand});
  }
  let least = Infinity;
  for (const [account, rate] of computeFairRates(claims, bound)) {
    const good = (measures.good.get(account) ?? 0) / seconds;
    if (rate > 0) least = Math.min(least, good / rate);
  }
  return least;
}

/**
 * Computes the milliseconds until goodput over the next second is back at 90%
 * of what can be had: the new bound or, if less, the offered load.
 */
function computeRecovery(run: LoadRun): number {
  const {measures, faultAt} = run;
  const wanted =
    recoveredShare * Math.min(run.boundAfter, run.offeredTokensPerSecond);
  const held = heldMilliseconds / windowMilliseconds;
  const first = Math.ceil(faultAt / windowMilliseconds);
  const last = Math.floor(measures.to / windowMilliseconds) - held;
  for (let window = first; window < last; window += 1) {
    let tokens = 0;
    for (let i = 0; i < held; i += 1) {
      tokens += measures.windows[window + i] ?? 0;
    }
    const rate = (tokens * 1000) / heldMilliseconds;
    if (rate >= wanted) return window * windowMilliseconds - faultAt;
  }
  return -1;
}

function computeSum(values: Iterable<number>): number {
  let sum = 0;
  for (const value of values) sum += value;
  return sum;
}
