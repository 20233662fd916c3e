import {ActionEvent, isPast, toId, type Deadline} from '@zinniaspindle/shared';
import {
  RecordKind,
  type AbandonmentRecord,
  type Offset,
  type OutcomeRecord,
  type RecordBody,
} from '../log/records.js';
import type {SubmitToken} from '../log/journal_types.js';
import {ActionCommandKind} from './commands.js';
import type {ActionRequest} from './inputs.js';
import {computeKeyExpiry} from './key_age.js';
import type {ActionsTurn, Attempt, PendingRecord} from './state.js';

/** Submits the claim of an attempt. */
export function appendClaim(turn: ActionsTurn, attempt: Attempt): void {
  const {account, key, service, digest} = attempt.initiator;
  const body: RecordBody = {
    kind: RecordKind.Claim,
    account,
    key,
    service,
    digest,
    attempt: attempt.number,
  };
  const token = sendRecord(turn, body, attempt.deadline);
  turn.state.claimTokens.set(token, attempt.number);
}

/** Submits the outcome of a call; unknown if there is no result. */
export function appendOutcome(
  turn: ActionsTurn,
  request: ActionRequest,
  claim: Offset,
  result?: string,
): void {
  appendUntilCommitted(turn, {
    kind: RecordKind.Outcome,
    account: request.account,
    key: request.key,
    claim,
    ...(result === undefined ? {} : {result}),
  });
}

/** Submits the statement that a claim's call was not sent and never will be. */
export function appendAbandonment(
  turn: ActionsTurn,
  action: Pick<ActionRequest, 'account' | 'key'>,
  claim: Offset,
): void {
  const {account, key} = action;
  const body = {kind: RecordKind.Abandonment, account, key, claim} as const;
  appendUntilCommitted(turn, body);
  turn.logEvents.push({
    event: ActionEvent.ClaimAbandoned,
    fields: {key, offset: claim},
  });
}

/**
 * Schedules another submission of a record that may not have reached the log.
 */
export function planResubmit(turn: ActionsTurn, pending: PendingRecord): void {
  if (isPast(pending.giveUpAt, turn.now)) return;
  const {pending: records, options} = turn.state;
  pending.resubmitAt = turn.now + options.resubmitMilliseconds;
  records.set(makeToken(turn), pending);
}

/**
 * Submits the records that are due again; folding a record twice is harmless.
 */
export function appendDueRecords(turn: ActionsTurn): void {
  const {pending} = turn.state;
  for (const [token, record] of [...pending]) {
    if (record.resubmitAt === undefined) continue;
    if (!isPast(record.resubmitAt, turn.now)) continue;
    pending.delete(token);
    appendUntilCommitted(turn, record.body);
  }
}

function appendUntilCommitted(
  turn: ActionsTurn,
  body: AbandonmentRecord | OutcomeRecord,
): void {
  const giveUpAt = computeKeyExpiry(turn.state, body.key);
  if (isPast(giveUpAt, turn.now)) return;
  const token = sendRecord(turn, body, giveUpAt);
  turn.state.pending.set(token, {body, giveUpAt});
}

function sendRecord(
  turn: ActionsTurn,
  body: RecordBody,
  giveUpAt: Deadline,
): SubmitToken {
  const token = makeToken(turn);
  const kind = ActionCommandKind.SubmitRecord;
  turn.commands.push({kind, token, body, giveUpAt});
  return token;
}

function makeToken(turn: ActionsTurn): SubmitToken {
  const number = turn.state.nextToken;
  turn.state.nextToken += 1;
  return toId(`action/${number}`);
}
