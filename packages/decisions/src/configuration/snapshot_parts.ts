/** Splits a snapshot into log records, and assembles it from them. */
import {ConfigurationEvent, type LogEvent} from '@zinniaspindle/shared';
import {
  RecordKind,
  type Offset,
  type PublishOutcome,
  type RevisedObject,
  type SnapshotRecord,
  type WriterId,
} from '../log/records.js';
import type {
  ConfigurationState,
  PartialSnapshot,
} from './configuration_state.js';

/** Maximum number of incomplete snapshots that are kept. */
const maxPartialSnapshots = 8;

/** @internal A snapshot of which all parts were read. */
export interface CompleteSnapshot {
  readonly covers: Offset;
  readonly objects: readonly RevisedObject[];
  readonly fates: readonly PublishOutcome[];
}

/** Splits the configuration into the records of a snapshot. */
export function makeSnapshotParts(
  state: ConfigurationState,
  objectsPerPart: number,
): SnapshotRecord[] {
  const objects = [...state.objects.values()];
  const fates = [...state.outcomes.values()];
  const count = Math.max(objects.length, fates.length);
  const parts = Math.max(1, Math.ceil(count / objectsPerPart));
  const records: SnapshotRecord[] = [];
  for (let part = 0; part < parts; part += 1) {
    const start = part * objectsPerPart;
    const end = start + objectsPerPart;
    records.push({
      kind: RecordKind.Snapshot,
      covers: state.position,
      part,
      parts,
      objects: objects.slice(start, end),
      fates: fates.slice(start, end),
    });
  }
  return records;
}

/**
 * @internal
 * Adds one part and returns the snapshot if it is complete. Parts of several
 * writers may be interleaved; a part out of order discards its snapshot.
 */
export function foldSnapshotPart(
  state: ConfigurationState,
  writer: WriterId,
  body: SnapshotRecord,
  logEvents: LogEvent[],
): CompleteSnapshot | undefined {
  const partial = findPartial(state, writer, body, logEvents);
  if (partial === undefined) return undefined;
  partial.nextPart += 1;
  // Without a gap this VM has the contents already and only counts the parts.
  if (state.gap !== undefined) {
    for (const object of body.objects) partial.objects.push(object);
    for (const outcome of body.fates) partial.fates.push(outcome);
  }
  if (partial.nextPart < partial.parts) return undefined;
  state.snapshots.delete(writer);
  return partial;
}

function findPartial(
  state: ConfigurationState,
  writer: WriterId,
  body: SnapshotRecord,
  logEvents: LogEvent[],
): PartialSnapshot | undefined {
  const {snapshots} = state;
  const {covers, part, parts} = body;
  const known = snapshots.get(writer);
  const isNext =
    known?.covers === covers &&
    known.parts === parts &&
    known.nextPart === part;
  if (isNext) return known;
  if (known !== undefined) {
    snapshots.delete(writer);
    const reason = `read part ${part} of the snapshot that covers ${covers}`;
    logEvents.push({
      event: ConfigurationEvent.SnapshotDiscarded,
      fields: {writer, part: known.nextPart, reason},
    });
  }
  if (part !== 0) return undefined;
  const started = {covers, parts, nextPart: 0, objects: [], fates: []};
  snapshots.set(writer, started);
  const [oldest] = snapshots.keys();
  if (snapshots.size > maxPartialSnapshots) snapshots.delete(oldest!);
  return started;
}
