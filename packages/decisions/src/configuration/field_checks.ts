/** Validators of single fields. */
import type {ConfigurationFault} from '../log/records.js';
import {
  labelKeyPattern,
  labelValuePattern,
  parseSelector,
} from './selectors.js';

/** Returns why a value is invalid, or undefined if it is valid. */
export type FieldCheck = (value: unknown) => string | undefined;

/** Validators of an object's fields, by field name. */
export interface FieldTable {
  readonly [name: string]: FieldCheck | FieldTable;
}

/** Maximum number of labels of an object. */
export const maxLabels = 32;
/** Maximum number of entries of a list field. */
export const maxListEntries = 256;
const maxSelectorLength = 1024;
const maxPort = 65535;
const maxShownLength = 128;

const namePattern = /^[A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?$/;
const addressPattern =
  /^(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9]([-A-Za-z0-9.]{0,252}[A-Za-z0-9])?):(\d{1,5})$/;
const digestPattern = /^[0-9a-f]{64}$/;

/** @internal Makes a fault; contains the value as truncated JSON. */
export function makeFault(
  field: string,
  value: unknown,
  reason: string,
): ConfigurationFault {
  const shown = JSON.stringify(value) ?? 'absent';
  return {field, value: shown.slice(0, maxShownLength), reason};
}

/** @internal Adds a fault for each invalid, missing or unknown field. */
export function checkFields(
  value: unknown,
  table: FieldTable,
  path: string,
  faults: ConfigurationFault[],
): void {
  if (!isRecord(value)) {
    faults.push(makeFault(path, value, 'must be an object'));
    return;
  }
  for (const [name, check] of Object.entries(table)) {
    const field = `${path}.${name}`;
    const found = Object.hasOwn(value, name) ? value[name] : undefined;
    if (typeof check !== 'function') {
      checkFields(found, check, field, faults);
      continue;
    }
    const reason = check(found);
    if (reason !== undefined) faults.push(makeFault(field, found, reason));
  }
  for (const name of Object.keys(value)) {
    if (Object.hasOwn(table, name)) continue;
    faults.push(makeFault(`${path}.${name}`, value[name], 'is not a field'));
  }
}

/** @internal */
export function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** @internal */
export const checkName: FieldCheck = value =>
  typeof value === 'string' && namePattern.test(value)
    ? undefined
    : 'must be 1 to 63 letters, digits, "-", "_" or ".", with a letter or digit at both ends';

/** @internal */
export const checkBoolean: FieldCheck = value =>
  typeof value === 'boolean' ? undefined : 'must be true or false';

/** @internal */
export const checkPositive: FieldCheck = value =>
  isFiniteNumber(value) && value > 0 ? undefined : 'must be a number above 0';

/** @internal */
export const checkNotNegative: FieldCheck = value =>
  isFiniteNumber(value) && value >= 0
    ? undefined
    : 'must be a number of 0 or more';

/** @internal */
export const checkCount: FieldCheck = value =>
  Number.isSafeInteger(value) && Number(value) > 0
    ? undefined
    : 'must be a whole number above 0';

/** @internal */
export const checkIndex: FieldCheck = value =>
  Number.isSafeInteger(value) && Number(value) >= 0
    ? undefined
    : 'must be a whole number of 0 or more';

/** @internal */
export const checkAddress: FieldCheck = value => {
  const match = typeof value === 'string' ? addressPattern.exec(value) : null;
  const port = Number(match?.[3] ?? 0);
  return port > 0 && port <= maxPort
    ? undefined
    : `must be host:port with a port from 1 to ${maxPort}`;
};

/** @internal */
export const checkDigest: FieldCheck = value =>
  typeof value === 'string' && digestPattern.test(value)
    ? undefined
    : 'must be a SHA-256 digest of 64 lower-case hexadecimal digits';

/** @internal */
export const checkSelector: FieldCheck = value => {
  if (typeof value !== 'string') return 'must be a selector';
  if (value.length > maxSelectorLength) {
    return `must have at most ${maxSelectorLength} characters`;
  }
  const parsed = parseSelector(value);
  return parsed.isErr ? parsed.error.message : undefined;
};

/** @internal */
export const checkLabels: FieldCheck = value => {
  if (!isRecord(value)) return 'must be an object of label keys and values';
  const entries = Object.entries(value);
  if (entries.length > maxLabels) {
    return `must have at most ${maxLabels} labels`;
  }
  for (const [key, label] of entries) {
    if (!labelKeyPattern.test(key)) return `label key "${key}" is not legal`;
    if (typeof label === 'string' && labelValuePattern.test(label)) continue;
    return `value of label "${key}" is not legal`;
  }
  return undefined;
};

/** @internal */
export function makeEnumCheck(values: readonly string[]): FieldCheck {
  return value =>
    typeof value === 'string' && values.includes(value)
      ? undefined
      : `must be one of ${values.join(', ')}`;
}

/** @internal Makes the check of a list without duplicate entries. */
export function makeListCheck(
  check: FieldCheck,
  minEntries: number,
  maxEntries = maxListEntries,
): FieldCheck {
  return value => {
    if (!Array.isArray(value)) return 'must be a list';
    if (value.length < minEntries || value.length > maxEntries) {
      return `must have ${minEntries} to ${maxEntries} entries`;
    }
    for (const [index, entry] of value.entries()) {
      const reason = check(entry);
      if (reason !== undefined) return `entry ${index} ${reason}`;
    }
    return new Set(value).size === value.length
      ? undefined
      : 'must not repeat an entry';
  };
}

function isFiniteNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}
