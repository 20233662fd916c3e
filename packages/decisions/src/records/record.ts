import type {
  DataCentreId,
  RequestId,
  StageTarget,
  VmId,
} from '@zinniaspindle/shared';
import type {RequestSpec} from '../requests/state.js';

/** Who owns a request: the higher attempt wins, then the higher VM id. */
export interface Ownership {
  readonly attempt: number;
  readonly owner: VmId;
}

/**
 * Everything that another VM needs to resume a request. The engine's stream is
 * identified by the request and the attempt at the last stage of the chain.
 */
export interface RequestRecord extends Ownership {
  readonly spec: RequestSpec;
  readonly chain: readonly StageTarget[];
  /** Tokens delivered by the time the record was written. */
  readonly given: readonly string[];
}

/** A VM that can hold records. */
export interface HolderPeer {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
}

/** Compares two ownerships; positive if `a` wins over `b`. */
export function compareOwnership(a: Ownership, b: Ownership): number {
  if (a.attempt !== b.attempt) return a.attempt - b.attempt;
  if (a.owner === b.owner) return 0;
  return a.owner > b.owner ? 1 : -1;
}

/** Returns the id of a record's request. */
export function getRequest(record: RequestRecord): RequestId {
  return record.spec.id;
}

const recordBytes = 512;
const stageBytes = 160;
const tokenBytes = 24;
const bytesPerCharacter = 2;

/** Estimates the memory size of a record, in bytes. */
export function measureRecord(record: RequestRecord): number {
  const {generation} = record.spec;
  const sampling = JSON.stringify(generation.sampling);
  let characters = generation.prompt.length + sampling.length;
  for (const token of record.given) characters += token.length;
  const fixed =
    recordBytes +
    record.chain.length * stageBytes +
    record.given.length * tokenBytes;
  return fixed + characters * bytesPerCharacter;
}
