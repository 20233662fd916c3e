import type {ObjectChange} from '@zinniaspindle/decisions';
import {
  ObjectKind,
  toId,
  type AccountId,
  type AccountObject,
} from '@zinniaspindle/shared';

/** Makes the change of an account; the weight tells its versions apart. */
export function makeAccountChange(
  name: string,
  base: number,
  weight: number,
  operator: boolean,
): ObjectChange {
  const object: AccountObject = {
    kind: ObjectKind.Account,
    name: toId<AccountId>(name),
    labels: {},
    tokenDigests: [],
    weight: weight + 1,
    tokensPerSecond: 1,
    operator,
  };
  return {key: {kind: ObjectKind.Account, name}, base, object};
}
