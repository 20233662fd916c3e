import {
  checkItem,
  IntakeKind,
  kindLimits,
  type IntakeExcess,
} from '@zinniaspindle/decisions';

/** The parser's error for a head that is larger than allowed. */
export const headOverflowCode = 'HPE_HEADER_OVERFLOW';

/** Computes the excess of a head that the parser has refused as too large. */
export function computeHeadExcess(bytesRead = 0): IntakeExcess | undefined {
  const {maxItem} = kindLimits[IntakeKind.Head];
  return checkItem(IntakeKind.Head, Math.max(maxItem + 1, bytesRead));
}
