import {ActionEvent} from '@zinniaspindle/shared';
import {
  RecordKind,
  type ClaimRecord,
  type CommittedRecord,
} from '../log/records.js';
import {SubmitOutcome, type SubmitToken} from '../log/journal_types.js';
import {cancelAttempt, dropAttempt, resumeWonAttempt} from './attempts.js';
import {
  ClaimResult,
  foldAbandonment,
  foldClaim,
  foldOutcome,
} from './claims.js';
import type {AttemptNumber} from './inputs.js';
import {resolveWaiting} from './requests.js';
import {
  AttemptStage,
  ClaimStatus,
  formatClaimKey,
  type ActionsTurn,
  type ClaimWindow,
} from './state.js';
import {appendAbandonment, planResubmit} from './submissions.js';

/** Folds a record of the log; ignores records of other areas. */
export function foldRecord(turn: ActionsTurn, record: CommittedRecord): void {
  const {body} = record;
  switch (body.kind) {
    case RecordKind.Claim:
      applyClaim(turn, record, body);
      return;
    case RecordKind.Outcome:
      foldOutcome(turn.state, record, body);
      resolveWaiting(turn, formatClaimKey(body.account, body.key));
      return;
    case RecordKind.Abandonment:
      foldAbandonment(turn.state, record, body);
      resolveWaiting(turn, formatClaimKey(body.account, body.key));
      return;
    case RecordKind.Fence:
    case RecordKind.Lease:
    case RecordKind.Publish:
    case RecordKind.Snapshot:
      return;
  }
}

/**
 * Replaces the claims by a peer's window, when the log can't be read from its
 * oldest record. This VM's own claims in it are handled as if read back.
 */
export function loadWindow(turn: ActionsTurn, window: ClaimWindow): void {
  const {claims, options} = turn.state;
  claims.clear();
  for (const {claimKey, entry} of window) claims.set(claimKey, {...entry});
  for (const [claimKey, entry] of claims) {
    if (entry.fate === ClaimStatus.Active && entry.writer === options.writer) {
      const attempt = turn.state.attempts.get(entry.attempt);
      if (attempt) resumeWonAttempt(turn, attempt, entry.offset);
      else appendAbandonment(turn, entry, entry.offset);
    }
    resolveWaiting(turn, claimKey);
  }
}

/** Applies the result of submitting a record. */
export function applySubmitOutcome(
  turn: ActionsTurn,
  token: SubmitToken,
  outcome: SubmitOutcome,
): void {
  const {claimTokens, pending} = turn.state;
  const attempt = claimTokens.get(token);
  claimTokens.delete(token);
  const record = pending.get(token);
  pending.delete(token);
  // A committed claim is decided in the order of the log, when it is folded.
  if (outcome === SubmitOutcome.Committed) return;
  if (record) planResubmit(turn, record);
  if (attempt !== undefined) applyMissingClaim(turn, attempt, outcome);
}

function applyClaim(
  turn: ActionsTurn,
  record: CommittedRecord,
  claim: ClaimRecord,
): void {
  const result = foldClaim(turn.state, record, claim);
  if (record.writer !== turn.state.options.writer) return;
  const attempt = turn.state.attempts.get(claim.attempt);
  if (!attempt) {
    // The attempt was cancelled and its initiator answered, so it must not
    // call.
    if (result !== ClaimResult.Won) return;
    appendAbandonment(turn, claim, record.offset);
    return;
  }
  const claimKey = formatClaimKey(claim.account, claim.key);
  switch (result) {
    case ClaimResult.Won:
      resumeWonAttempt(turn, attempt, record.offset);
      break;
    case ClaimResult.Lost:
      turn.logEvents.push({
        event: ActionEvent.ClaimLost,
        fields: {
          key: claim.key,
          offset: turn.state.claims.get(claimKey)?.offset ?? -1,
        },
      });
      dropAttempt(turn, attempt);
      break;
    case ClaimResult.Void:
      cancelAttempt(
        turn,
        attempt,
        'the key was invalid when the claim was committed',
      );
      break;
  }
  resolveWaiting(turn, claimKey);
}

function applyMissingClaim(
  turn: ActionsTurn,
  number: AttemptNumber,
  outcome: SubmitOutcome,
): void {
  const attempt = turn.state.attempts.get(number);
  if (attempt?.stage !== AttemptStage.Claiming) return;
  const {account, key} = attempt.initiator;
  cancelAttempt(turn, attempt, `the append of the claim ended as ${outcome}`);
  resolveWaiting(turn, formatClaimKey(account, key));
}
