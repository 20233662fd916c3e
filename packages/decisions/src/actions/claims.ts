import {isPast, type Instant} from '@zinniaspindle/shared';
import type {
  AbandonmentRecord,
  ClaimRecord,
  OutcomeRecord,
  CommittedRecord,
} from '../log/records.js';
import {checkKeyAge, computeForgetAt, KeyAge} from './key_age.js';
import {ActionGuard} from './options.js';
import {
  ClaimStatus,
  formatClaimKey,
  isGuarded,
  type ActionsState,
  type ClaimEntry,
} from './state.js';

/** How a claim fared in the order of the log; every reader decides the same. */
export enum ClaimResult {
  /** First claim on its key: only its writer may call the service. */
  Won = 'won',
  /** After another claim on the key that is not abandoned. */
  Lost = 'lost',
  /** Committed outside the period in which the key may be claimed. */
  Void = 'void',
}

/** Folds a claim; it wins if its key has no claim or only an abandoned one. */
export function foldClaim(
  state: ActionsState,
  record: CommittedRecord,
  claim: ClaimRecord,
): ClaimResult {
  if (checkKeyAge(state, claim.key, record.time) !== KeyAge.Valid) {
    return ClaimResult.Void;
  }
  const claimKey = formatClaimKey(claim.account, claim.key);
  const entry = state.claims.get(claimKey);
  if (entry && entry.fate !== ClaimStatus.Abandoned) return ClaimResult.Lost;
  // Deleted first, so that the map stays ordered by log offset.
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
    fate: ClaimStatus.Active,
  });
  return ClaimResult.Won;
}

/** Folds an outcome; a known result is never overwritten. */
export function foldOutcome(
  state: ActionsState,
  record: CommittedRecord,
  outcome: OutcomeRecord,
): void {
  const entry = findClaim(state, outcome);
  if (entry?.writer !== record.writer) return;
  if (entry.fate === ClaimStatus.Completed) return;
  if (outcome.result === undefined) {
    entry.fate = ClaimStatus.OutcomeUnknown;
    return;
  }
  entry.fate = ClaimStatus.Completed;
  entry.result = outcome.result;
}

/** Folds an abandonment; only one by the claim's own writer counts. */
export function foldAbandonment(
  state: ActionsState,
  record: CommittedRecord,
  abandonment: AbandonmentRecord,
): void {
  const entry = findClaim(state, abandonment);
  if (entry?.fate !== ClaimStatus.Active) return;
  const byClaimant = entry.writer === record.writer;
  if (!byClaimant && isGuarded(state, ActionGuard.OnlyClaimantAbandons)) return;
  entry.fate = ClaimStatus.Abandoned;
}

/** Removes claims whose key can no longer be claimed or requested. */
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
