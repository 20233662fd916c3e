import type {RequestId, TokenEvent} from '@zinniaspindle/shared';
import {makeHttpFaults, type HttpFaults} from '../http/http_faults.js';

/** The token index of a fault that is switched off. */
export const noToken = -1;

/**
 * Faults of an engine. Those that name a token index strike the next stream
 * that reaches the index, once, and then switch themselves off.
 */
export interface EngineFaults extends HttpFaults {
  /** Refuses new streams; running ones go on. */
  leaving: boolean;
  /** Holds every step until switched off. */
  freeze: boolean;
  /** Milliseconds before a step is passed to the next stage. */
  forwardDelayMilliseconds: number;
  /** Runs all layers of its range but the last. */
  skipLayerAt: number;
  /** Leaves the token out of the stream. */
  dropTokenAt: number;
  repeatTokenAt: number;
  /** Gives the first two receipts in the wrong order. */
  swapReceiptsAt: number;
  /** Answers with the token of another request. */
  crossAt: number;
  /** Answers as if in the attempt before. */
  oldAttemptAt: number;
}

/** Makes the state in which nothing is wrong. */
export function makeEngineFaults(): EngineFaults {
  return {
    ...makeHttpFaults(),
    leaving: false,
    freeze: false,
    forwardDelayMilliseconds: 0,
    skipLayerAt: noToken,
    dropTokenAt: noToken,
    repeatTokenAt: noToken,
    swapReceiptsAt: noToken,
    crossAt: noToken,
    oldAttemptAt: noToken,
  };
}

type TokenFault =
  | 'crossAt'
  | 'dropTokenAt'
  | 'oldAttemptAt'
  | 'repeatTokenAt'
  | 'skipLayerAt'
  | 'swapReceiptsAt';

/** Takes a fault that strikes at this index; it is switched off then. */
export function takeTokenFault(
  faults: EngineFaults,
  name: TokenFault,
  index: number,
): boolean {
  const at = faults[name];
  if (at === noToken || at !== index) return false;
  faults[name] = noToken;
  return true;
}

/** Applies the faults that strike a token; returns what is sent instead. */
export function applyTokenFaults(
  faults: EngineFaults,
  event: TokenEvent,
): TokenEvent[] {
  const {index} = event;
  if (takeTokenFault(faults, 'dropTokenAt', index)) return [];
  if (takeTokenFault(faults, 'repeatTokenAt', index)) return [event, event];
  if (takeTokenFault(faults, 'crossAt', index)) {
    const request = `${event.request}-other` as RequestId;
    return [{...event, request, text: ' crossed'}];
  }
  if (takeTokenFault(faults, 'oldAttemptAt', index)) {
    return [{...event, attempt: event.attempt - 1, text: ' late'}];
  }
  if (takeTokenFault(faults, 'swapReceiptsAt', index)) {
    const [first, second, ...rest] = event.receipts;
    if (first === undefined || second === undefined) return [event];
    return [{...event, receipts: [second, first, ...rest]}];
  }
  return [event];
}
