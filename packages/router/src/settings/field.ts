import {Schema} from 'effect';

/** One key of the settings file. */
export interface SettingField<T> {
  readonly schema: Schema.Codec<T, string>;
  /** Default as written in the file; absent when the key is required. */
  readonly fallback?: string;
  /** What the value means, in one sentence. */
  readonly description: string;
  /** Unit of the value, such as "ms"; empty for none. */
  readonly unit: string;
  /** Allowed values, for people. */
  readonly range: string;
  /** Whether a wrong value may be a secret, and so is never shown. */
  readonly isSecret?: boolean;
}

const addressPattern =
  /^((\d{1,3}\.){3}\d{1,3}|\[[0-9a-fA-F:]+\]|localhost):\d{1,5}$/;
const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const digestPattern = /^[0-9a-f]{64}$/;

/** Describes a key without its schema. */
interface FieldText {
  readonly description: string;
  readonly fallback?: string;
}

/** A key that holds a whole number in a range. */
export function makeIntegerField(
  minimum: number,
  maximum: number,
  unit: string,
  text: FieldText,
): SettingField<number> {
  const bounds = Schema.isBetween({minimum, maximum});
  return {
    schema: Schema.NumberFromString.check(Schema.isInt(), bounds),
    unit,
    range: `a whole number, ${minimum} to ${maximum}`,
    ...text,
  };
}

/** A key that holds host:port, the host as an IP number. */
export function makeAddressField(text: FieldText): SettingField<string> {
  const schema = Schema.String.check(Schema.isPattern(addressPattern));
  return {schema, unit: '', range: 'IP:port', ...text};
}

/** A key that holds a name. */
export function makeNameField(text: FieldText): SettingField<string> {
  const schema = Schema.String.check(Schema.isPattern(namePattern));
  const range = '1 to 64 of A-Z a-z 0-9 . _ -';
  return {schema, unit: '', range, ...text};
}

/** A key that holds a SHA-256 digest. */
export function makeDigestField(text: FieldText): SettingField<string> {
  const schema = Schema.String.check(Schema.isPattern(digestPattern));
  const range = '64 hexadecimal digits, 0-9 a-f';
  return {schema, unit: '', range, isSecret: true, ...text};
}

/** A key that holds one of an enum's values. */
export function makeChoiceField<const T extends string>(
  choices: readonly T[],
  text: FieldText,
): SettingField<T> {
  const schema = Schema.Literals(choices);
  return {schema, unit: '', range: choices.join(', '), ...text};
}
