import {readFileSync} from 'node:fs';
import {describeError} from '@zinniaspindle/shared';
import {CliError, CliErrorCode} from './errors.js';

/** Parses JSON that an option or a file holds. */
export function parseJson(source: string, text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    throw new CliError(
      CliErrorCode.BadArgument,
      `${source} is not JSON: ${describeError(error)}`,
      'correct the JSON and run the command again',
    );
  }
}

/** Reads a file of JSON. */
export function readJsonFile(file: string): unknown {
  return parseJson(`file "${file}"`, readTextFile(file));
}

/** Reads a file that the user named. */
export function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new CliError(
      CliErrorCode.BadArgument,
      `file "${file}" cannot be read: ${describeError(error)}`,
      'name a readable file',
    );
  }
}
