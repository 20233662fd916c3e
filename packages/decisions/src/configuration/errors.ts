import {CodedError} from '@zinniaspindle/shared';
import type {Offset} from '../log/records.js';

/** What can be wrong in the configuration layer. */
export enum ConfigurationErrorCode {
  /** A selector does not parse. */
  SelectorSyntax = 'selectorSyntax',
  /** A state transfer does not cover the records that are missing. */
  TransferTooOld = 'transferTooOld',
}

/** An error of the configuration layer. */
export type ConfigurationError = CodedError<ConfigurationErrorCode>;

/** Where a selector stops being one. */
export class SelectorError extends CodedError<ConfigurationErrorCode> {
  constructor(
    /** Index of the first character at fault, from 0. */
    readonly position: number,
    /** The text found there; empty at the end of the selector. */
    readonly found: string,
    /** What may stand there. */
    readonly expected: string,
  ) {
    const shown = found === '' ? 'the end' : JSON.stringify(found);
    super(
      ConfigurationErrorCode.SelectorSyntax,
      `position ${position}: found ${shown}, expected ${expected}`,
    );
  }
}

/** Makes the error for a transfer that ends before the kept records begin. */
export function makeTransferTooOldError(
  covers: Offset,
  oldest: Offset,
): ConfigurationError {
  return new CodedError(
    ConfigurationErrorCode.TransferTooOld,
    `transfer covers records below offset ${covers}, but ${oldest} is needed`,
  );
}
