import {CodedError} from '@zinniaspindle/shared';

/** What can be wrong with a scenario. */
export enum ScenarioErrorCode {
  Syntax = 'syntax',
}

/** An error in the text of a scenario. */
export type ScenarioError = CodedError<ScenarioErrorCode>;

/** Makes a syntax error that names the line, the word and what was expected. */
export function makeSyntaxError(
  line: number,
  word: string,
  expected: string,
): ScenarioError {
  return new CodedError(
    ScenarioErrorCode.Syntax,
    `line ${line}: "${word}": expected ${expected}`,
  );
}
