import {ActionEvent} from '@zinniaspindle/shared';
import {
  RecordKind,
  type ClaimRecord,
  type PlacedRecord,
} from '../log/records.js';
import {SubmitFate, type SubmitToken} from '../log/journal_types.js';
import {cancelAttempt, dropAttempt, resumeWonAttempt} from './attempts.js';
import {
  ClaimVerdict,
  foldAbandonment,
  foldClaim,
  foldOutcome,
} from './claims.js';
import type {AttemptNumber} from './inputs.js';
import {resolveWaiting} from './requests.js';
import {
  AttemptStage,
  ClaimFate,
  formatClaimKey,
  type ActionsTurn,
  type ClaimWindow,
} from './state.js';
import {appendAbandonment, planResubmit} from './submissions.js';

/** Folds a record of the log; records of other areas are passed over. */
export function foldRecord(turn: ActionsTurn, record: PlacedRecord): void {
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
 * Takes over a peer's window when the log can't be read from its oldest
 * record on. Own claims in it are treated as if read back one by one.
 */
export function loadWindow(turn: ActionsTurn, window: ClaimWindow): void {
  const {claims, options} = turn.state;
  claims.clear();
  for (const {claimKey, entry} of window) claims.set(claimKey, {...entry});
  for (const [claimKey, entry] of claims) {
    if (entry.fate === ClaimFate.Active && entry.writer === options.writer) {
      const attempt = turn.state.attempts.get(entry.attempt);
      if (attempt) resumeWonAttempt(turn, attempt, entry.offset);
      else appendAbandonment(turn, entry, entry.offset);
    }
    resolveWaiting(turn, claimKey);
  }
}

/** Applies the fate of a submitted record. */
export function applySubmitFate(
  turn: ActionsTurn,
  token: SubmitToken,
  fate: SubmitFate,
): void {
  const {claimTokens, pending} = turn.state;
  const attempt = claimTokens.get(token);
  claimTokens.delete(token);
  const record = pending.get(token);
  pending.delete(token);
  // A placed claim is decided when it is folded, in the log's order.
  if (fate === SubmitFate.Placed) return;
  if (record) planResubmit(turn, record);
  if (attempt !== undefined) applyMissingClaim(turn, attempt, fate);
}

function applyClaim(
  turn: ActionsTurn,
  record: PlacedRecord,
  claim: ClaimRecord,
): void {
  const verdict = foldClaim(turn.state, record, claim);
  if (record.writer !== turn.state.options.writer) return;
  const attempt = turn.state.attempts.get(claim.attempt);
  if (!attempt) {
    // Given up earlier; its starter was answered, so it is never called.
    if (verdict !== ClaimVerdict.First) return;
    appendAbandonment(turn, claim, record.offset);
    return;
  }
  const claimKey = formatClaimKey(claim.account, claim.key);
  switch (verdict) {
    case ClaimVerdict.First:
      resumeWonAttempt(turn, attempt, record.offset);
      break;
    case ClaimVerdict.Late:
      turn.logEvents.push({
        event: ActionEvent.ClaimLost,
        fields: {
          key: claim.key,
          offset: turn.state.claims.get(claimKey)?.offset ?? -1,
        },
      });
      dropAttempt(turn, attempt);
      break;
    case ClaimVerdict.Void:
      cancelAttempt(turn, attempt, 'the claim was placed outside its time');
      break;
  }
  resolveWaiting(turn, claimKey);
}

function applyMissingClaim(
  turn: ActionsTurn,
  number: AttemptNumber,
  fate: SubmitFate,
): void {
  const attempt = turn.state.attempts.get(number);
  if (attempt?.stage !== AttemptStage.Claiming) return;
  const {account, key} = attempt.starter;
  cancelAttempt(turn, attempt, `the claim's append is ${fate}`);
  resolveWaiting(turn, formatClaimKey(account, key));
}
