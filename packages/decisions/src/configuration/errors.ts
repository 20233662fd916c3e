import {CodedError} from '@zinniaspindle/shared';
import type {Offset} from '../log/records.js';

/** Error codes of the configuration layer. */
export enum ConfigurationErrorCode {
  /** A selector does not parse. */
  SelectorSyntax = 'selectorSyntax',
  /** A state transfer does not cover all missing records. */
  TransferTooOld = 'transferTooOld',
}

/** An error of the configuration layer. */
export type ConfigurationError = CodedError<ConfigurationErrorCode>;

/** A syntax error of a selector, with the position where parsing failed. */
export class SelectorError extends CodedError<ConfigurationErrorCode> {
  constructor(
    /** Index of the first unexpected character, from 0. */
    readonly position: number,
    /** The unexpected text; empty at the end of the selector. */
    readonly found: string,
    /** Description of the tokens that are allowed at this position. */
    readonly expected: string,
  ) {
    const shown = found === '' ? 'the end' : JSON.stringify(found);
    super(
      ConfigurationErrorCode.SelectorSyntax,
      `position ${position}: found ${shown}, expected ${expected}`,
    );
  }
}

/** Makes the error for a transfer that ends before the oldest kept record. */
export function makeTransferTooOldError(
  covers: Offset,
  oldest: Offset,
): ConfigurationError {
  return new CodedError(
    ConfigurationErrorCode.TransferTooOld,
    `transfer covers records below offset ${covers}, but ${oldest} is needed`,
  );
}
