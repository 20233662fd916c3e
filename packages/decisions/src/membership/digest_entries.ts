/** The value last sent for one key. */
interface SentEntry<Value> {
  readonly value: Value;
}

/** Sent entries of one kind, least recently sent first. */
export type SentEntries<Key, Value> = Map<Key, SentEntry<Value>>;

/** How to compare entries of one kind. */
export interface EntryKind<Value> {
  /** Value sent for an entry that no longer exists. */
  readonly empty: Value;
  /** Returns how much two values differ; 0 if they are equal. */
  readonly computeDifference: (a: Value, b: Value) => number;
}

/** Maximum number of entries in one message. */
export interface EntryLimits {
  readonly changed: number;
  /** Unchanged entries sent again, least recently sent first. */
  readonly refreshed: number;
}

/**
 * Chooses the entries to send: those that differ most from the value last
 * sent, then the least recently sent. An entry over the limit keeps its
 * difference, so a later message carries it.
 */
export function chooseEntries<Key, Value>(
  sent: SentEntries<Key, Value>,
  current: ReadonlyMap<Key, Value>,
  kind: EntryKind<Value>,
  limits: EntryLimits,
): Array<[Key, Value]> {
  const chosen = listChanged(sent, current, kind);
  chosen.sort((a, b) => b.difference - a.difference);
  const entries: Array<[Key, Value]> = [];
  for (const {key, value} of chosen.slice(0, limits.changed)) {
    entries.push([key, value]);
  }
  const refreshed = listLeastRecentlySent(
    sent,
    current,
    kind,
    limits.refreshed,
  );
  for (const [key, value] of entries) recordSent(sent, key, value);
  for (const [key, value] of refreshed) {
    if (entries.some(entry => entry[0] === key)) continue;
    entries.push([key, value]);
    recordSent(sent, key, value);
    if (value === kind.empty) sent.delete(key);
  }
  return entries;
}

function listChanged<Key, Value>(
  sent: SentEntries<Key, Value>,
  current: ReadonlyMap<Key, Value>,
  kind: EntryKind<Value>,
): Array<{key: Key; value: Value; difference: number}> {
  const changed: Array<{key: Key; value: Value; difference: number}> = [];
  for (const [key, value] of current) {
    const lastSent = sent.get(key)?.value ?? kind.empty;
    const difference = kind.computeDifference(value, lastSent);
    if (difference > 0) changed.push({key, value, difference});
  }
  for (const [key, {value}] of sent) {
    if (current.has(key)) continue;
    const difference = kind.computeDifference(kind.empty, value);
    if (difference > 0) changed.push({key, value: kind.empty, difference});
  }
  return changed;
}

function listLeastRecentlySent<Key, Value>(
  sent: SentEntries<Key, Value>,
  current: ReadonlyMap<Key, Value>,
  kind: EntryKind<Value>,
  count: number,
): Array<[Key, Value]> {
  const oldest: Array<[Key, Value]> = [];
  for (const key of sent.keys()) {
    if (oldest.length >= count) break;
    oldest.push([key, current.get(key) ?? kind.empty]);
  }
  return oldest;
}

function recordSent<Key, Value>(
  sent: SentEntries<Key, Value>,
  key: Key,
  value: Value,
): void {
  sent.delete(key);
  sent.set(key, {value});
}
