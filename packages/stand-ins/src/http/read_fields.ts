import {makeBadRequest} from '../errors.js';

type Fields = Readonly<Record<string, unknown>>;

/** Reads a field that must be a string. */
export function readString(fields: Fields, name: string): string {
  const value = fields[name];
  if (typeof value !== 'string') throw makeWrongField(name, 'a string', value);
  return value;
}

/** Reads a field that must be an array. */
export function readArray(fields: Fields, name: string): readonly unknown[] {
  const value: unknown = fields[name];
  if (!Array.isArray(value)) throw makeWrongField(name, 'an array', value);
  return value;
}

/** Checks that the named fields are numbers. */
export function checkNumbers(fields: Fields, names: readonly string[]): void {
  for (const name of names) {
    const value = fields[name];
    if (typeof value === 'number' && Number.isFinite(value)) continue;
    throw makeWrongField(name, 'a number', value);
  }
}

/** Checks that the named fields are objects. */
export function checkObjects(fields: Fields, names: readonly string[]): void {
  for (const name of names) {
    const value = fields[name];
    if (typeof value === 'object' && value !== null) continue;
    throw makeWrongField(name, 'an object', value);
  }
}

/** Reads a query parameter that must be a whole number from 0 on. */
export function readCount(
  query: URLSearchParams,
  name: string,
  otherwise: number,
): number {
  const text = query.get(name);
  if (text === null) return otherwise;
  const value = Number(text);
  if (Number.isInteger(value) && value >= 0) return value;
  throw makeWrongField(name, 'a whole number from 0 on', text);
}

function makeWrongField(name: string, wanted: string, value: unknown): Error {
  return makeBadRequest(
    `field "${name}" must be ${wanted}, got ${JSON.stringify(value)}`,
  );
}
