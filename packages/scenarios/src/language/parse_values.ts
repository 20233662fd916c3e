import {InvalidArgumentError} from 'commander';
import {millisecondsPerSecond} from '@zinniaspindle/shared';

const timePattern = /^(\d+(?:\.\d+)?)(ms|s|min)$/;
const secondsPerMinute = 60;

/** Parses a time such as 200ms, 1.5s or 2min to milliseconds. */
export function parseTime(text: string): number {
  const match = timePattern.exec(text);
  if (match === null) {
    throw new InvalidArgumentError('a time such as 200ms, 1.5s or 2min');
  }
  const value = Number(match[1]);
  if (match[2] === 'ms') return value;
  if (match[2] === 's') return value * millisecondsPerSecond;
  return value * secondsPerMinute * millisecondsPerSecond;
}

/** Parses a whole number from 0 on. */
export function parseCount(text: string): number {
  if (/^\d+$/.test(text)) return Number(text);
  throw new InvalidArgumentError('a whole number from 0 on');
}

/** Parses names that are separated by commas. */
export function parseNames(text: string): string[] {
  const names = text.split(',');
  if (names.every(name => name !== '')) return names;
  throw new InvalidArgumentError('names separated by commas');
}

/** Parses true or false. */
export function parseFlag(text: string): boolean {
  if (text === 'true') return true;
  if (text === 'false') return false;
  throw new InvalidArgumentError('true or false');
}

/** Parses JSON, or takes the word itself as a string. */
export function parseJsonOrWord(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}
