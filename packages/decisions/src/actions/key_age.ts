import type {ActionKey, Deadline, Instant} from '@zinniaspindle/shared';
import {parseKeyTime} from './action_key.js';
import {ActionGuard} from './options.js';
import {isGuarded, type ActionsState} from './state.js';

/** How an instant relates to the period in which a key may be claimed. */
export enum KeyAge {
  FromFuture = 'fromFuture',
  NotUuidV7 = 'notUuidV7',
  TooOld = 'tooOld',
  Valid = 'valid',
}

/**
 * Computes when a key expires: half the log's retention after its creation. A
 * VM that has read the other half thus knows every claim on a key it accepts.
 */
export function computeKeyExpiry(
  state: ActionsState,
  key: ActionKey,
): Deadline {
  const {retentionMilliseconds} = state.options;
  return parseKeyTime(key).unwrapOr(0) + retentionMilliseconds / 2;
}

/** Computes when a key claimed at an instant has certainly expired. */
export function computeForgetAt(
  state: ActionsState,
  claimedAt: Instant,
): Instant {
  const {retentionMilliseconds, maxKeySkewMilliseconds} = state.options;
  return claimedAt + retentionMilliseconds / 2 + maxKeySkewMilliseconds;
}

/** Checks a key's age at an instant by the clock of the log or of this VM. */
export function checkKeyAge(
  state: ActionsState,
  key: ActionKey,
  at: Instant,
): KeyAge {
  const keyTime = parseKeyTime(key);
  if (keyTime.isNothing) return KeyAge.NotUuidV7;
  if (!isGuarded(state, ActionGuard.KeyAge)) return KeyAge.Valid;
  if (keyTime.value > at + state.options.maxKeySkewMilliseconds) {
    return KeyAge.FromFuture;
  }
  return at >= computeKeyExpiry(state, key) ? KeyAge.TooOld : KeyAge.Valid;
}
