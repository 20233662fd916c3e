import {isWholeChain} from '@zinniaspindle/shared';
import type {EndpointId, StageTarget, TokenEvent} from '@zinniaspindle/shared';
import type {RequestState} from './state.js';

/** What a check of a token found. */
export enum TokenVerdict {
  Good = 'good',
  /** Of an earlier attempt or of another request; dropped. */
  Stray = 'stray',
  WrongIndex = 'wrongIndex',
  WrongLayers = 'wrongLayers',
}

/** Checks a token before it is delivered. */
export type VerifyToken = (
  state: RequestState,
  token: TokenEvent,
) => TokenVerdict;

/**
 * Checks that a token is the next one of the current attempt and that its
 * receipts name every layer exactly once, in order, by the chosen stages.
 */
export function verifyToken(
  state: RequestState,
  token: TokenEvent,
): TokenVerdict {
  if (token.request !== state.spec.id) return TokenVerdict.Stray;
  if (token.attempt !== state.attempt) return TokenVerdict.Stray;
  if (token.index !== state.delivered.length) return TokenVerdict.WrongIndex;
  return hasWholeReceipts(state, token)
    ? TokenVerdict.Good
    : TokenVerdict.WrongLayers;
}

function hasWholeReceipts(state: RequestState, token: TokenEvent): boolean {
  if (token.receipts.length !== state.chain.length) return false;
  const ranAs = token.receipts[0]?.attempt ?? -1;
  if (!canHaveRunAs(state, ranAs)) return false;
  for (const [position, receipt] of token.receipts.entries()) {
    const stage = state.chain[position] as StageTarget;
    if (receipt.endpoint !== stage.endpoint) return false;
    if (receipt.attempt !== ranAs) return false;
  }
  const ranges = token.receipts.map(receipt => receipt.layers);
  return isWholeChain(ranges, state.spec.layerCount);
}

/** A lead that goes on sends tokens of earlier attempts, in their order. */
function canHaveRunAs(state: RequestState, attempt: number): boolean {
  if (attempt === state.attempt) return true;
  if (!state.goesOn) return false;
  return attempt >= state.receiptAttempt && attempt < state.attempt;
}

/** Finds the first stage whose receipt is not as told; else the lead stage. */
export function findFaultyStage(
  state: RequestState,
  token: TokenEvent,
): EndpointId {
  const {chain, attempt} = state;
  for (const [position, stage] of chain.entries()) {
    const receipt = token.receipts[position];
    const isRight =
      receipt?.endpoint === stage.endpoint &&
      receipt.attempt === attempt &&
      receipt.layers.first === stage.layers.first &&
      receipt.layers.end === stage.layers.end;
    if (!isRight) return stage.endpoint;
  }
  return chain[chain.length - 1]!.endpoint;
}
