import process from 'node:process';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {isPast, type Deadline} from '@zinniaspindle/shared';

/** How a command prints its result. */
export enum OutputFormat {
  Json = 'json',
  Text = 'text',
}

const indent = 2;
const outputPollMilliseconds = 10;

/** Prints a value as JSON. */
export function printJson(value: unknown): void {
  console.log(JSON.stringify(value, undefined, indent));
}

/** Prints a value as JSON, or its rows as lines of text. */
export function printRows(
  format: OutputFormat,
  value: unknown,
  rows: readonly object[],
): void {
  if (format === OutputFormat.Json) return printJson(value);
  for (const row of rows) console.log(formatRow(row));
}

/** Prints a value as JSON, or its fields as one line of text each. */
export function printFields(format: OutputFormat, value: object): void {
  if (format === OutputFormat.Json) return printJson(value);
  for (const [name, field] of Object.entries(value)) {
    console.log(`${name}: ${formatField(field)}`);
  }
}

/**
 * Waits until what was printed is written out, or until a deadline; returns
 * whether it is.
 */
export async function waitForOutput(deadline: Deadline): Promise<boolean> {
  const {stdout, stderr} = process;
  while (stdout.writableLength + stderr.writableLength > 0) {
    if (isPast(deadline, Date.now())) return false;
    await waitMilliseconds(outputPollMilliseconds);
  }
  return true;
}

function formatRow(row: object): string {
  const parts = Object.entries(row).map(
    ([name, field]) => `${name}=${formatField(field)}`,
  );
  return parts.join(' ');
}

function formatField(field: unknown): string {
  return typeof field === 'string' ? field : JSON.stringify(field);
}
