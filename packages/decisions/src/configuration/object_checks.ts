/** Validates single objects; `publish_checks.ts` checks them against others. */
import {EndpointRole, ObjectKind} from '@zinniaspindle/shared';
import type {ConfigurationFault} from '../log/records.js';
import {
  checkAddress,
  checkBoolean,
  checkCount,
  checkDigest,
  checkFields,
  checkIndex,
  checkLabels,
  checkName,
  checkNotNegative,
  checkPositive,
  checkSelector,
  isRecord,
  makeEnumCheck,
  makeFault,
  makeListCheck,
  type FieldTable,
} from './field_checks.js';

const maxTokenDigests = 16;

const tables: Readonly<Record<ObjectKind, FieldTable>> = {
  [ObjectKind.Account]: {
    ...makeBaseTable(ObjectKind.Account),
    tokenDigests: makeListCheck(checkDigest, 0, maxTokenDigests),
    weight: checkPositive,
    tokensPerSecond: checkNotNegative,
    operator: checkBoolean,
  },
  [ObjectKind.Endpoint]: {
    ...makeBaseTable(ObjectKind.Endpoint),
    address: checkAddress,
    dataCentre: checkName,
    accelerator: checkName,
    model: checkName,
    layers: {first: checkIndex, end: checkCount},
    role: makeEnumCheck(Object.values(EndpointRole)),
    rates: {
      prefillTokensPerSecond: checkPositive,
      stepMilliseconds: checkPositive,
      stepMillisecondsPerStream: checkNotNegative,
      slots: checkCount,
    },
    checksFencing: checkBoolean,
    forwards: checkBoolean,
  },
  [ObjectKind.Link]: {
    ...makeBaseTable(ObjectKind.Link),
    between: makeListCheck(checkName, 2, 2),
    delayMilliseconds: checkNotNegative,
    bytesPerSecond: checkPositive,
  },
  [ObjectKind.Pipeline]: {
    ...makeBaseTable(ObjectKind.Pipeline),
    model: checkName,
    layerCount: checkCount,
    endpointSelector: checkSelector,
    accountSelector: checkSelector,
    maxTokens: checkCount,
  },
  [ObjectKind.Service]: {
    ...makeBaseTable(ObjectKind.Service),
    addresses: makeListCheck(checkAddress, 1),
    accountSelector: checkSelector,
    hasLookup: checkBoolean,
    callMilliseconds: checkPositive,
  },
};

/** Tells whether a value is a valid object kind. */
export function isObjectKind(value: unknown): value is ObjectKind {
  return typeof value === 'string' && Object.hasOwn(tables, value);
}

/**
 * Adds a fault for each invalid field of an object. The object is untrusted
 * input and may have any shape.
 */
export function checkObject(
  value: unknown,
  kind: ObjectKind,
  path: string,
  faults: ConfigurationFault[],
): void {
  const count = faults.length;
  checkFields(value, tables[kind], path, faults);
  if (faults.length > count || kind !== ObjectKind.Endpoint) return;
  const layers = isRecord(value) ? value['layers'] : undefined;
  if (!isRecord(layers) || Number(layers['end']) > Number(layers['first'])) {
    return;
  }
  const reason = 'must hold at least one layer';
  faults.push(makeFault(`${path}.layers`, layers, reason));
}

function makeBaseTable(kind: ObjectKind): FieldTable {
  return {kind: makeEnumCheck([kind]), name: checkName, labels: checkLabels};
}
