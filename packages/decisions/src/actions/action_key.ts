import type {ActionKey, Instant} from '@zinniaspindle/shared';
import {Maybe} from 'true-myth';

const uuidV7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const hexDigitsOfTime = 12;
const hexRadix = 16;

/** Parses the creation time of a UUIDv7 key; nothing for any other text. */
export function parseKeyTime(key: ActionKey): Maybe<Instant> {
  if (!uuidV7.test(key)) return Maybe.nothing();
  const digits = key.replaceAll('-', '').slice(0, hexDigitsOfTime);
  return Maybe.just(Number.parseInt(digits, hexRadix));
}
