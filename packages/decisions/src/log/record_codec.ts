/** Encodes records as JSON, and validates every field when decoding. */
import {describeError, type StoredRecord} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {makeMalformedRecordError, type LogError} from './errors.js';
import {RecordKind, type LogRecord, type CommittedRecord} from './records.js';

/** The type that a field of a record must have. */
enum FieldType {
  Array = 'array',
  Number = 'number',
  OptionalText = 'optionalText',
  Text = 'text',
}

const actionFields = {account: FieldType.Text, key: FieldType.Text};

const bodyFields: Readonly<
  Record<RecordKind, Readonly<Record<string, FieldType>>>
> = {
  [RecordKind.Abandonment]: {...actionFields, claim: FieldType.Number},
  [RecordKind.Claim]: {
    ...actionFields,
    service: FieldType.Text,
    digest: FieldType.Text,
    attempt: FieldType.Number,
  },
  [RecordKind.Fence]: {},
  [RecordKind.Lease]: {
    resource: FieldType.Text,
    holder: FieldType.Text,
    follows: FieldType.Number,
    expiresAt: FieldType.Number,
  },
  [RecordKind.Outcome]: {
    ...actionFields,
    claim: FieldType.Number,
    result: FieldType.OptionalText,
  },
  [RecordKind.Publish]: {
    publish: FieldType.Text,
    operator: FieldType.Text,
    changes: FieldType.Array,
  },
  [RecordKind.Snapshot]: {
    covers: FieldType.Number,
    part: FieldType.Number,
    parts: FieldType.Number,
    objects: FieldType.Array,
    fates: FieldType.Array,
  },
};

/** Encodes a record as the text that is appended. */
export function encodeRecord(record: LogRecord): string {
  return JSON.stringify(record);
}

/** Decodes a stored record; the error names the invalid field. */
export function decodeRecord(
  stored: StoredRecord,
): Result<CommittedRecord, LogError> {
  let value: unknown;
  try {
    value = JSON.parse(stored.data);
  } catch (error) {
    return Result.err(makeMalformedRecordError(describeError(error), error));
  }
  const fault = findRecordFault(value);
  if (fault !== undefined) return Result.err(makeMalformedRecordError(fault));
  const record = value as LogRecord;
  return Result.ok({
    writer: record.writer,
    sequence: record.sequence,
    body: record.body,
    offset: stored.offset,
    time: stored.time,
  });
}

function findRecordFault(value: unknown): string | undefined {
  if (!isObject(value)) return 'record is not an object';
  const {writer, sequence, body} = value;
  if (typeof writer !== 'string') return describeFault('writer', writer);
  if (!Number.isSafeInteger(sequence)) {
    return describeFault('sequence', sequence);
  }
  if (!isObject(body)) return describeFault('body', body);
  const fields = Object.hasOwn(bodyFields, String(body['kind']))
    ? bodyFields[body['kind'] as RecordKind]
    : undefined;
  if (fields === undefined) return describeFault('kind', body['kind']);
  for (const [name, type] of Object.entries(fields)) {
    if (!isOfType(body[name], type)) return describeFault(name, body[name]);
  }
  return undefined;
}

function isOfType(value: unknown, type: FieldType): boolean {
  switch (type) {
    case FieldType.Array:
      return Array.isArray(value);
    case FieldType.Number:
      return typeof value === 'number' && Number.isFinite(value);
    case FieldType.OptionalText:
      return value === undefined || typeof value === 'string';
    case FieldType.Text:
      return typeof value === 'string';
  }
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function describeFault(field: string, value: unknown): string {
  return `field ${field} is ${JSON.stringify(value) ?? 'absent'}`;
}
