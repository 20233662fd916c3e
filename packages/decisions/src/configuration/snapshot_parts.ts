/** Snapshots in the log: cut into parts, and put together again. */
import {ConfigurationEvent, type LogEvent} from '@zinniaspindle/shared';
import {
  RecordKind,
  type Offset,
  type PublishFate,
  type RevisedObject,
  type SnapshotRecord,
  type WriterId,
} from '../log/records.js';
import type {
  ConfigurationState,
  PartialSnapshot,
} from './configuration_state.js';

/** Most unfinished snapshots that are kept. */
const maxPartialSnapshots = 8;

/** @internal A snapshot all of whose parts were read. */
export interface WholeSnapshot {
  readonly covers: Offset;
  readonly objects: readonly RevisedObject[];
  readonly fates: readonly PublishFate[];
}

/** Cuts the configuration into the records of a snapshot. */
export function makeSnapshotParts(
  state: ConfigurationState,
  objectsPerPart: number,
): SnapshotRecord[] {
  const objects = [...state.objects.values()];
  const fates = [...state.fates.values()];
  const most = Math.max(objects.length, fates.length);
  const parts = Math.max(1, Math.ceil(most / objectsPerPart));
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
 * Takes one part and returns the snapshot when it was the last one. Parts of
 * several writers may be mixed; a part out of order drops its snapshot.
 */
export function foldSnapshotPart(
  state: ConfigurationState,
  writer: WriterId,
  body: SnapshotRecord,
  logEvents: LogEvent[],
): WholeSnapshot | undefined {
  const partial = findPartial(state, writer, body, logEvents);
  if (partial === undefined) return undefined;
  partial.nextPart += 1;
  // Without a gap the contents are known; only completeness is followed.
  if (state.gap !== undefined) {
    for (const object of body.objects) partial.objects.push(object);
    for (const fate of body.fates) partial.fates.push(fate);
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
  const follows =
    known?.covers === covers &&
    known.parts === parts &&
    known.nextPart === part;
  if (follows) return known;
  if (known !== undefined) {
    snapshots.delete(writer);
    const reason = `covers ${covers} part ${part} came instead`;
    logEvents.push({
      event: ConfigurationEvent.SnapshotDiscarded,
      fields: {writer, part: known.nextPart, reason},
    });
  }
  if (part !== 0) return undefined;
  const made = {covers, parts, nextPart: 0, objects: [], fates: []};
  snapshots.set(writer, made);
  const [oldest] = snapshots.keys();
  if (snapshots.size > maxPartialSnapshots) snapshots.delete(oldest!);
  return made;
}
