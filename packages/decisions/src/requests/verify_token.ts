import {isWholeChain} from '@zinniaspindle/shared';
import type {EndpointId, StageTarget, TokenEvent} from '@zinniaspindle/shared';
import type {RequestState} from './state.js';

/** Result of verifying a token. */
export enum TokenVerdict {
  Valid = 'valid',
  /** The token belongs to an earlier attempt or to another request; dropped. */
  Stale = 'stale',
  WrongIndex = 'wrongIndex',
  WrongLayers = 'wrongLayers',
}

/** Verifies a token before it is delivered. */
export type VerifyToken = (
  state: RequestState,
  token: TokenEvent,
) => TokenVerdict;

/**
 * Verifies that a token is the next one of the current attempt, and that its
 * receipts cover every layer exactly once, in order, by the chosen stages.
 */
export function verifyToken(
  state: RequestState,
  token: TokenEvent,
): TokenVerdict {
  if (token.request !== state.spec.id) return TokenVerdict.Stale;
  if (token.attempt !== state.attempt) return TokenVerdict.Stale;
  if (token.index !== state.delivered.length) return TokenVerdict.WrongIndex;
  return hasExpectedReceipts(state, token)
    ? TokenVerdict.Valid
    : TokenVerdict.WrongLayers;
}

function hasExpectedReceipts(state: RequestState, token: TokenEvent): boolean {
  if (token.receipts.length !== state.chain.length) return false;
  const receiptAttempt = token.receipts[0]?.attempt ?? -1;
  if (!isExpectedAttempt(state, receiptAttempt)) return false;
  for (const [position, receipt] of token.receipts.entries()) {
    const stage = state.chain[position] as StageTarget;
    if (receipt.endpoint !== stage.endpoint) return false;
    if (receipt.attempt !== receiptAttempt) return false;
  }
  const ranges = token.receipts.map(receipt => receipt.layers);
  return isWholeChain(ranges, state.spec.layerCount);
}

/**
 * Tells whether receipts may carry an attempt number. A lead stage that
 * continues a stream replays tokens of earlier attempts first, in order.
 */
function isExpectedAttempt(state: RequestState, attempt: number): boolean {
  if (attempt === state.attempt) return true;
  if (!state.goesOn) return false;
  return attempt >= state.lastReceiptAttempt && attempt < state.attempt;
}

/** Finds the first stage without the expected receipt, or else the lead stage. */
export function findFaultyStage(
  state: RequestState,
  token: TokenEvent,
): EndpointId {
  const {chain, attempt} = state;
  for (const [position, stage] of chain.entries()) {
    const receipt = token.receipts[position];
    const isExpected =
      receipt?.endpoint === stage.endpoint &&
      receipt.attempt === attempt &&
      receipt.layers.first === stage.layers.first &&
      receipt.layers.end === stage.layers.end;
    if (!isExpected) return stage.endpoint;
  }
  return chain[chain.length - 1]!.endpoint;
}
