import {isPast, type Instant} from '@zinniaspindle/shared';
import type {
  AbandonmentRecord,
  ClaimRecord,
  OutcomeRecord,
  PlacedRecord,
} from '../log/records.js';
import {checkKeyAge, computeForgetAt, KeyAge} from './key_age.js';
import {ActionGuard} from './options.js';
import {
  ClaimFate,
  formatClaimKey,
  isGuarded,
  type ActionsState,
  type ClaimEntry,
} from './state.js';

/** What the log's order decides of a claim; the same at every reader. */
export enum ClaimVerdict {
  /** First for its key: its writer, and nobody else, may call. */
  First = 'first',
  /** Behind another claim that was not abandoned. */
  Late = 'late',
  /** Placed outside the time in which the key may be claimed. */
  Void = 'void',
}

/** Folds a claim: first if its key has none, or only an abandoned one. */
export function foldClaim(
  state: ActionsState,
  record: PlacedRecord,
  claim: ClaimRecord,
): ClaimVerdict {
  if (checkKeyAge(state, claim.key, record.time) !== KeyAge.Valid) {
    return ClaimVerdict.Void;
  }
  const claimKey = formatClaimKey(claim.account, claim.key);
  const current = state.claims.get(claimKey);
  if (current && current.fate !== ClaimFate.Abandoned) return ClaimVerdict.Late;
  // Deleted first, so that the map stays in order of placing.
  state.claims.delete(claimKey);
  state.claims.set(claimKey, {
    account: claim.account,
    key: claim.key,
    offset: record.offset,
    writer: record.writer,
    attempt: claim.attempt,
    service: claim.service,
    digest: claim.digest,
    forgetAt: computeForgetAt(state, record.time),
    fate: ClaimFate.Active,
  });
  return ClaimVerdict.First;
}

/** Folds an outcome; a known result is never taken back. */
export function foldOutcome(
  state: ActionsState,
  record: PlacedRecord,
  outcome: OutcomeRecord,
): void {
  const entry = findClaim(state, outcome);
  if (entry?.writer !== record.writer) return;
  if (entry.fate === ClaimFate.Completed) return;
  if (outcome.result === undefined) {
    entry.fate = ClaimFate.OutcomeUnknown;
    return;
  }
  entry.fate = ClaimFate.Completed;
  entry.result = outcome.result;
}

/** Folds an abandonment; only that of the claim's own writer counts. */
export function foldAbandonment(
  state: ActionsState,
  record: PlacedRecord,
  abandonment: AbandonmentRecord,
): void {
  const entry = findClaim(state, abandonment);
  if (entry?.fate !== ClaimFate.Active) return;
  const byClaimant = entry.writer === record.writer;
  if (!byClaimant && isGuarded(state, ActionGuard.OnlyClaimantAbandons)) return;
  entry.fate = ClaimFate.Abandoned;
}

/** Drops the claims whose key can't be claimed or asked for any more. */
export function expireClaims(state: ActionsState, now: Instant): void {
  for (const [claimKey, entry] of state.claims) {
    if (!isPast(entry.forgetAt, now)) return;
    state.claims.delete(claimKey);
  }
}

function findClaim(
  state: ActionsState,
  record: AbandonmentRecord | OutcomeRecord,
): ClaimEntry | undefined {
  const entry = state.claims.get(formatClaimKey(record.account, record.key));
  return entry?.offset === record.claim ? entry : undefined;
}
