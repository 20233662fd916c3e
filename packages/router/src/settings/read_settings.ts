import {describeError, CodedError} from '@zinniaspindle/shared';
import {Schema} from 'effect';
import {parse as parseIni} from 'ini';
import {Result} from 'true-myth';
import type {SettingField} from './field.js';
import {settingSections} from './sections.js';

/** Errors of the settings file. */
export enum SettingsErrorCode {
  Invalid = 'invalid',
}

/** One fault in the settings file. */
export interface SettingsFault {
  readonly section: string;
  /** Empty when the section itself is at fault. */
  readonly key: string;
  /** As written; empty when the key is missing, "(hidden)" for a secret. */
  readonly value: string;
  readonly message: string;
}

/** Every fault of a settings file. */
export class SettingsError extends CodedError<SettingsErrorCode> {
  constructor(readonly faults: readonly SettingsFault[]) {
    const lines = faults.map(formatFault);
    super(SettingsErrorCode.Invalid, lines.join('\n'));
    this.name = 'SettingsError';
  }
}

const hiddenValue = '(hidden)';

type Sections = typeof settingSections;

type ValueOf<Field> = Field extends SettingField<infer T> ? T : never;

/** The checked settings of one VM. */
export type Settings = {
  readonly [S in keyof Sections]: {
    readonly [K in keyof Sections[S]]: ValueOf<Sections[S][K]>;
  };
};

/** Formats a fault as "[section] key = value: message". */
export function formatFault(fault: SettingsFault): string {
  if (fault.key === '') return `[${fault.section}]: ${fault.message}`;
  return `[${fault.section}] ${fault.key} = ${fault.value}: ${fault.message}`;
}

/** Reads settings from the text of an INI file; collects every fault. */
export function readSettings(text: string): Result<Settings, SettingsError> {
  let file: Readonly<Record<string, unknown>>;
  try {
    file = parseIni(text);
  } catch (error) {
    const message = `not an INI file: ${describeError(error)}`;
    const fault = {section: 'file', key: '', value: '', message};
    return Result.err(new SettingsError([fault]));
  }
  const faults: SettingsFault[] = [];
  const settings: Record<string, unknown> = {};
  for (const [name, fields] of Object.entries(settingSections)) {
    settings[name] = readSection(name, fields, file[name] ?? {}, faults);
  }
  faults.push(...findUnknownSections(file));
  if (faults.length === 0) {
    faults.push(...findContradictions(settings as Settings));
  }
  if (faults.length > 0) return Result.err(new SettingsError(faults));
  return Result.ok(settings as Settings);
}

function readSection(
  section: string,
  fields: Readonly<Record<string, SettingField<unknown>>>,
  given: unknown,
  faults: SettingsFault[],
): Record<string, unknown> {
  const values: Record<string, unknown> = {};
  const texts = (typeof given === 'object' ? given : {}) as Record<
    string,
    unknown
  >;
  for (const [key, field] of Object.entries(fields)) {
    const text = texts[key] ?? field.fallback;
    if (text === undefined) {
      const message = `missing; expected ${field.range}`;
      faults.push({section, key, value: '', message});
      continue;
    }
    values[key] = readValue(section, key, field, String(text), faults);
  }
  for (const key of Object.keys(texts)) {
    if (Object.hasOwn(fields, key)) continue;
    const message = `unknown key; expected one of ${Object.keys(fields).join(', ')}`;
    faults.push({section, key, value: String(texts[key]), message});
  }
  return values;
}

function readValue(
  section: string,
  key: string,
  field: SettingField<unknown>,
  value: string,
  faults: SettingsFault[],
): unknown {
  const decoded = Schema.decodeUnknownResult(field.schema)(value);
  if (decoded._tag === 'Success') return decoded.success;
  const unit = field.unit === '' ? '' : ` ${field.unit}`;
  const message = `expected ${field.range}${unit}`;
  // A token may have been written where its digest belongs.
  const shown = field.isSecret === true ? hiddenValue : value;
  faults.push({section, key, value: shown, message});
  return undefined;
}

function findUnknownSections(
  file: Readonly<Record<string, unknown>>,
): SettingsFault[] {
  const faults: SettingsFault[] = [];
  const known = Object.keys(settingSections);
  for (const section of Object.keys(file)) {
    if (known.includes(section)) continue;
    const message = `unknown section; expected one of ${known.join(', ')}`;
    faults.push({section, key: '', value: '', message});
  }
  return faults;
}

function findContradictions(settings: Settings): SettingsFault[] {
  const faults: SettingsFault[] = [];
  const {callers, peers} = settings;
  if (callers.listen === peers.listen) {
    faults.push({
      section: 'peers',
      key: 'listen',
      value: peers.listen,
      message: 'the same address as [callers] listen',
    });
  }
  if (callers.defaultDeadlineMilliseconds > callers.maxDeadlineMilliseconds) {
    faults.push({
      section: 'callers',
      key: 'defaultDeadlineMilliseconds',
      value: String(callers.defaultDeadlineMilliseconds),
      message: `above maxDeadlineMilliseconds, ${callers.maxDeadlineMilliseconds}`,
    });
  }
  return faults;
}
