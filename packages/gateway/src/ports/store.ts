import type {StoreEra} from '@zinniaspindle/decisions';
import type {Result} from 'true-myth';
import type {Configuration} from './configuration.js';
import type {EndpointEntry} from './endpoints.js';
import type {StoreError} from './errors.js';

/** The keyed topics that the gateway uses. */
export enum Topic {
  Configuration = 'configuration',
  Endpoints = 'endpoints',
  Vms = 'vms',
  Quarantines = 'quarantines',
}

/**
 * A record of a keyed topic; a record without a value deletes its key. The key
 * is empty if the record cannot be read.
 */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
  readonly offset: number;
}

/** What an answer of the store says of the store itself. */
export interface StoreAnswer {
  /** Undefined if the answer has none that can be used. */
  readonly era: StoreEra;
}

/** Consecutive records of a topic. */
export interface RecordBatch extends StoreAnswer {
  readonly records: readonly KeyedRecord[];
  /** The offset after the newest record, which a full answer does not reach. */
  readonly end: number;
}

/** The newest record of each key of a topic. */
export interface NewestRecords extends StoreAnswer {
  readonly records: readonly KeyedRecord[];
  /** The offset to read from next. */
  readonly next: number;
}

/** A member's view of a group, one member of which is the owner. */
export interface GroupView extends StoreAnswer {
  /** Increases with every change of the group within an era. */
  readonly generation: number;
  readonly isOwner: boolean;
}

/** The platform's store of keyed topics. */
export interface Store {
  /** Reads consecutive records from an offset on. */
  readRecords(
    topic: Topic,
    from: number,
    waitMilliseconds: number,
  ): Promise<Result<RecordBatch, StoreError>>;
  /** Reads the newest record of each key. */
  readNewest(topic: Topic): Promise<Result<NewestRecords, StoreError>>;
  /** Appends a record to a topic that the gateway writes. */
  appendRecord(
    topic: Topic,
    key: string,
    value: Buffer | undefined,
  ): Promise<Result<StoreAnswer, StoreError>>;
  /** Joins or renews the membership of the group that elects the owner. */
  joinOwnerGroup(
    member: string,
    generation: number,
    ttlMilliseconds: number,
  ): Promise<Result<GroupView, StoreError>>;
  releaseOwnership(member: string): Promise<Result<void, StoreError>>;
}

/** Decodes records of the store; an error tells what is malformed. */
export interface RecordCodec {
  decodeConfiguration(value: Buffer): Result<Configuration, string>;
  /** Key of the record that holds the configuration. */
  readonly configurationKey: string;
  decodeEndpoint(id: string, value: Buffer): Result<EndpointEntry, string>;
}
