import {formatAddress, parseAddress} from '@zinniaspindle/shared';
import type {LoadRow} from '../fleet/load_tracker.js';
import {maxLayers, Topic} from '../ports/index.js';
import {PeerMessageKind} from './messages.js';

/** Longest id, name, address or trait in a message. */
const maxTextLength = 1024;
const maxPort = 65_535;
/** Larger amounts come from no VM, and sums of them would not be exact. */
const maxAmount = 1e12;
/** The latest instant that a date can name, in Unix milliseconds. */
const maxInstant = 8.64e15;

type Fields = Readonly<Record<string, unknown>>;
type Check = (value: unknown) => boolean;

const topics = new Set<unknown>(Object.values(Topic));

const orderFields: Readonly<Record<string, Check>> = {
  id: isText,
  bornAt: isInstant,
  range: isRange,
  orderCount: isCount,
  cutsRequests: value => typeof value === 'boolean',
};

/** The fields that messages of each kind must have; further ones are ignored. */
const checks: Readonly<
  Record<PeerMessageKind, Readonly<Record<string, Check>>>
> = {
  [PeerMessageKind.Hello]: {
    vm: isText,
    startedAt: isInstant,
    peerAddress: isAddress,
    callerAddress: isAddress,
    linkMegabits: isAmount,
    cores: value => value === undefined || isAmount(value),
    known: Array.isArray,
    isUnheard: isMissingOrBoolean,
  },
  // Heartbeats are rows, which have their own decoder.
  [PeerMessageKind.Heartbeat]: {kind: () => false},
  [PeerMessageKind.Records]: {
    topic: isTopic,
    from: isCount,
    next: isCount,
    sentAt: isInstant,
    ageMilliseconds: value => value === undefined || isAge(value),
    rows: isListOf(isRecordRow),
  },
  [PeerMessageKind.SnapshotRequest]: {topic: isTopic},
  [PeerMessageKind.Snapshot]: {
    topic: isTopic,
    next: isCount,
    ageMilliseconds: isAge,
    sentAt: isInstant,
    rows: isListOf(isRecordRow),
  },
  [PeerMessageKind.Suspicion]: {
    id: isText,
    bornAt: isInstant,
    cause: isText,
    ended: isMissingOr({
      service: isText,
      sentAt: isInstant,
      ageMilliseconds: isAge,
      attempts: isListOf(isAttemptRow),
      begun: value => value === undefined || isListOf(isAttemptRow)(value),
    }),
  },
  [PeerMessageKind.Refutation]: {
    id: isText,
    bornAt: isInstant,
    answered: isMissingOr({
      service: isText,
      sentAt: isInstant,
      parts: isListOf(isPartRow),
      isLasting: isMissingOrBoolean,
    }),
    limited: isMissingOr({
      id: isText,
      bornAt: isInstant,
      perSecond: value => value === null || isAmount(value),
      sentAt: isInstant,
    }),
    paused: isMissingOr({
      id: isText,
      bornAt: isInstant,
      milliseconds: value => typeof value === 'number',
    }),
    announced: isMissingOr(orderFields),
  },
  [PeerMessageKind.Facts]: {facts: isFacts},
  [PeerMessageKind.Order]: {
    ...orderFields,
    waitsForRequests: isMissingOrBoolean,
  },
  [PeerMessageKind.Relay]: {
    id: isText,
    purpose: isText,
    readsFrames: isMissingOrBoolean,
  },
};

/** Finds the first field of a message that is missing or malformed. */
export function findFault(
  kind: PeerMessageKind,
  message: object,
): string | undefined {
  const fields = message as Fields;
  for (const [name, isSound] of Object.entries(checks[kind])) {
    if (!isSound(fields[name])) return name;
  }
  return undefined;
}

/** Tells whether a value is a whole number that is not negative. */
export function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Tells whether a value is an instant. */
export function isInstant(value: unknown): boolean {
  return typeof value === 'number' && Math.abs(value) <= maxInstant;
}

/** Tells whether a value is an amount that is not negative. */
export function isAmount(value: unknown): boolean {
  return typeof value === 'number' && value >= 0 && value <= maxAmount;
}

/** Tells whether a value is the load on a path. */
export function isLoadRow(value: unknown): value is LoadRow {
  if (!Array.isArray(value)) return false;
  const [hash, first, streams, tokens] = value as unknown[];
  // Sums of parts may be a little below zero.
  const isTokens = typeof tokens === 'number' && Math.abs(tokens) <= maxAmount;
  return isCount(hash) && isText(first) && isAmount(streams) && isTokens;
}

/** Tells whether a value is an address that can be connected to. */
export function isAddress(value: unknown): value is string {
  if (!isText(value)) return false;
  const address = parseAddress(value);
  const {host, port} = address;
  const isPort = Number.isInteger(port) && port > 0 && port <= maxPort;
  return host !== '' && isPort && formatAddress(address) === value;
}

function isText(value: unknown): value is string {
  return typeof value === 'string' && value.length <= maxTextLength;
}

function isMissingOrBoolean(value: unknown): boolean {
  return value === undefined || typeof value === 'boolean';
}

function isTopic(value: unknown): boolean {
  return topics.has(value);
}

function isListOf(isItem: Check): Check {
  return value => Array.isArray(value) && value.every(isItem);
}

function isMissingOr(fields: Readonly<Record<string, Check>>): Check {
  return value => {
    if (value === undefined) return true;
    if (typeof value !== 'object' || value === null) return false;
    return Object.entries(fields).every(([name, isSound]) =>
      isSound((value as Fields)[name]),
    );
  };
}

function isRecordRow(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [key, bytes, offset] = value as unknown[];
  const isValue = bytes === null || bytes instanceof Uint8Array;
  return isText(key) && isValue && isCount(offset);
}

function isAttemptRow(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [request, traits, age] = value as unknown[];
  return isText(request) && isListOf(isText)(traits) && isAge(age);
}

function isPartRow(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [part, age] = value as unknown[];
  return isText(part) && isAge(age);
}

/** Tells whether a value is an age, which clocks may make negative. */
export function isAge(value: unknown): boolean {
  return typeof value === 'number' && Math.abs(value) <= maxAmount;
}

function isRange(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const {first, end} = value as Fields;
  if (!isCount(first) || !isCount(end)) return false;
  return (first as number) < (end as number) && (end as number) <= maxLayers;
}

function isFacts(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const {id, bornAt, orderCount, held} = value as Fields;
  if (!isText(id) || !isInstant(bornAt) || !isCount(orderCount)) return false;
  return held === undefined || isRange(held);
}
