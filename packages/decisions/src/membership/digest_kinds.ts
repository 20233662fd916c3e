import type {EndpointId, LoadReport} from '@zinniaspindle/shared';
import {toId} from '@zinniaspindle/shared';
import type {UseValue} from './digest_state.js';
import type {EntryKind} from './digest_entries.js';
import type {DemandColumns, UseColumns} from './messages.js';

const tokensPerRequest = 100;

/** Compares demands by tokens per second. */
export const demandKind: EntryKind<number> = {
  empty: 0,
  computeDifference: (a, b) => Math.abs(a - b),
};

/**
 * Compares uses; a running request counts as a typical number of prefill
 * tokens.
 */
export const useKind: EntryKind<UseValue> = {
  empty: {running: 0, prefillTokens: 0},
  computeDifference: (a, b) =>
    Math.abs(a.running - b.running) * tokensPerRequest +
    Math.abs(a.prefillTokens - b.prefillTokens),
};

/** Compares load reports. */
export const reportKind: EntryKind<LoadReport> = {
  empty: {
    endpoint: toId<EndpointId>(''),
    time: 0,
    running: 0,
    queued: 0,
    queuedPrefillTokens: 0,
    leaving: false,
  },
  computeDifference: computeReportDifference,
};

/** Converts demands to the column layout of messages. */
export function toDemandColumns(
  entries: ReadonlyArray<[DemandColumns['accounts'][number], number]>,
): DemandColumns {
  return {
    accounts: entries.map(([account]) => account),
    tokensPerSecond: entries.map(([, tokens]) => tokens),
  };
}

/** Converts uses to the column layout of messages. */
export function toUseColumns(
  entries: ReadonlyArray<[EndpointId, UseValue]>,
): UseColumns {
  return {
    endpoints: entries.map(([endpoint]) => endpoint),
    running: entries.map(([, use]) => use.running),
    prefillTokens: entries.map(([, use]) => use.prefillTokens),
  };
}

/**
 * A report in which only the time changed still counts, with the lowest
 * priority.
 */
function computeReportDifference(a: LoadReport, b: LoadReport): number {
  if (a.time === b.time) return 0;
  if (a.leaving !== b.leaving) return Number.MAX_SAFE_INTEGER;
  const requests =
    Math.abs(a.running - b.running) + Math.abs(a.queued - b.queued);
  const tokens = Math.abs(a.queuedPrefillTokens - b.queuedPrefillTokens);
  return 1 + requests * tokensPerRequest + tokens;
}
