import type {Instant} from './instant.js';

/** Body of POST /v1/append, which appends records in order and atomically. */
export interface AppendRequest {
  readonly records: readonly string[];
}

/** Response to an append: the offset of its first record. */
export interface AppendResponse {
  readonly firstOffset: number;
}

/** One stored record; data is the text that was appended. */
export interface StoredRecord {
  readonly offset: number;
  readonly time: Instant;
  readonly data: string;
}

/**
 * Response to GET /v1/records?from=N&max=M&waitMilliseconds=W: the records from
 * offset N on. When N is below `oldest`, they start at `oldest` and the reader
 * has missed the records between.
 */
export interface ReadResponse {
  /** Lowest offset still retained. */
  readonly oldest: number;
  /** Offset of the next record to be appended. */
  readonly next: number;
  readonly records: readonly StoredRecord[];
}
