import type {Result} from 'true-myth';
import type {Configuration} from './configuration.js';
import type {EndpointEntry} from './endpoints.js';
import type {StoreError} from './errors.js';

/** The keyed topics that the gateway follows. */
export enum Topic {
  Configuration = 'configuration',
  Endpoints = 'endpoints',
  Vms = 'vms',
}

/** A record of a keyed topic; without a value it drops its key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
  readonly offset: number;
}

/** The newest record of each key. */
export interface NewestRecords {
  readonly records: readonly KeyedRecord[];
  /** Records before this offset are covered. */
  readonly next: number;
}

/** A group in which one member owns the single part of a topic. */
export interface GroupView {
  /** Rises with every change of the group. */
  readonly generation: number;
  readonly isOwner: boolean;
}

/** The platform's store, as far as the gateway uses it. */
export interface Store {
  /** Reads consecutive records, the first at the offset asked for. */
  readRecords(
    topic: Topic,
    from: number,
    waitMilliseconds: number,
  ): Promise<Result<readonly KeyedRecord[], StoreError>>;
  readNewest(topic: Topic): Promise<Result<NewestRecords, StoreError>>;
  /** Appends a record to a topic of the gateway's own. */
  appendRecord(
    topic: Topic,
    key: string,
    value: Buffer | undefined,
  ): Promise<Result<void, StoreError>>;
  joinOwners(
    member: string,
    generation: number,
    ttlMilliseconds: number,
  ): Promise<Result<GroupView, StoreError>>;
  releaseOwnership(member: string): Promise<Result<void, StoreError>>;
}

/** Decodes what others write to the store; undefined for what is malformed. */
export interface RecordCodec {
  decodeConfiguration(value: Buffer): Configuration | undefined;
  /** Key of the record that holds the configuration. */
  readonly configurationKey: string;
  decodeEndpoint(id: string, value: Buffer): EndpointEntry | undefined;
}
