import {
  canApplyCopiedEntry,
  isFailing,
  type ReadSchedule,
} from '@zinniaspindle/decisions';
import {describeError, GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {EndpointTable} from '../fleet/endpoint_table.js';
import type {WriteEvent} from '../log/event_log.js';
import {RefusalLog} from '../log/refusal_log.js';
import {
  Topic,
  type Configuration,
  type KeyedRecord,
  type RecordCodec,
} from '../ports/index.js';
import {RecordOrigin, TopicState} from './topic_state.js';

/**
 * Entries that expired during an outage are listed again within 2 s of its end.
 */
const outageRecoveryMilliseconds = 2300;
/**
 * An entry that is removed without notice may only have missed heartbeats, and
 * is listed again with the next one, 1.2 s later. It is kept for this share of
 * the time within which requests must no longer reach a removed endpoint,
 * counted from the last time it was certainly listed.
 */
const removalDelayShare = 0.65;
/**
 * A longer time without an update of the endpoints counts as an outage: an entry
 * expires after 3.6 s of silence, 1.2 s of which may lie before it.
 */
const outageThresholdMilliseconds = 2500;
/**
 * Where VMs read the store less often, a time that is longer by this than the
 * age at which all of them read it counts as an outage.
 */
const outageMarginMilliseconds = 300;
/** Removed endpoints that are remembered; more than leave within a minute. */
const maxRemoved = 4096;

/** This VM's replica of the store's records: configuration and endpoints. */
export class StoreReplica {
  readonly topics: Readonly<
    Record<Topic.Configuration | Topic.Endpoints, TopicState>
  >;
  private newestConfiguration: Configuration | undefined;
  private recoveringUntil: Instant = -Infinity;
  /** Start of the incarnation that was removed last, by id of the endpoint. */
  private readonly removedBornAt = new Map<string, Instant>();
  private readonly refusals: RefusalLog;

  constructor(
    private readonly codec: RecordCodec,
    private readonly endpoints: EndpointTable,
    private readonly schedule: ReadSchedule,
    /** Within this time, requests must no longer reach a removed endpoint. */
    private readonly drainMilliseconds: number,
    private readonly writeEvent: WriteEvent,
    private readonly getNow: () => Instant,
    private readonly handleConfiguration: (
      configuration: Configuration,
    ) => void,
  ) {
    this.refusals = new RefusalLog(writeEvent, getNow);
    this.topics = {
      [Topic.Configuration]: this.createTopic(Topic.Configuration, record =>
        this.applyConfiguration(record),
      ),
      [Topic.Endpoints]: this.createTopic(Topic.Endpoints, (record, origin) => {
        if (origin === RecordOrigin.Followed) this.applyEndpoint(record);
        else this.applyCopiedEndpoint(record);
      }),
    };
  }

  /** Finds the newest configuration; undefined before any is known. */
  findConfiguration(): Configuration | undefined {
    return this.newestConfiguration;
  }

  /** Call before an update is applied: detects that it ends an outage. */
  checkOutage(): void {
    const state = this.topics[Topic.Endpoints];
    const now = this.getNow();
    const threshold = Math.max(
      outageThresholdMilliseconds,
      this.schedule.maxAgeMilliseconds + outageMarginMilliseconds,
    );
    const isOutage = now - state.asOf > threshold;
    if (state.next !== undefined && isOutage) {
      this.recoveringUntil = now + outageRecoveryMilliseconds;
    }
  }

  /** Creates a topic that goes on after a record which cannot be applied. */
  private createTopic(
    topic: Topic,
    apply: (record: KeyedRecord, origin: RecordOrigin) => void,
  ): TopicState {
    return new TopicState(topic, (record, origin) => {
      try {
        apply(record, origin);
      } catch (error) {
        const reason = describeError(error);
        this.recordRefusal(GatewayEvent.RecordFailed, topic, record, reason);
      }
    });
  }

  private applyConfiguration(record: KeyedRecord): void {
    const {key, value, offset} = record;
    if (key !== this.codec.configurationKey || value === undefined) return;
    const decoded = this.codec.decodeConfiguration(value);
    const known = this.newestConfiguration;
    if (decoded.isErr) {
      this.refuseRecord(Topic.Configuration, record, decoded.error);
      return;
    }
    const configuration = decoded.value;
    if (known !== undefined && configuration.version <= known.version) return;
    this.newestConfiguration = configuration;
    this.writeEvent(GatewayEvent.ConfigurationApplied, {
      version: configuration.version,
      offset,
      routes: configuration.routes.length,
      newest: this.topics[Topic.Configuration].describeAge(this.getNow()),
    });
    this.handleConfiguration(configuration);
  }

  private applyEndpoint(record: KeyedRecord): void {
    const {key, value} = record;
    if (value === undefined) {
      this.recordRemoval(key);
      this.endpoints.removeEntry(key, this.computeRemovalTime(key));
      return;
    }
    this.removedBornAt.delete(key);
    const entry = this.codec.decodeEndpoint(key, value);
    if (entry.isErr) this.refuseRecord(Topic.Endpoints, record, entry.error);
    else this.endpoints.applyEntry(entry.value);
  }

  /**
   * Applies an entry of an older copy of the store as far as it is news. Entries
   * that the copy lacks are written again within the time of an outage.
   */
  private applyCopiedEndpoint(record: KeyedRecord): void {
    const {key, value} = record;
    this.recoveringUntil = this.getNow() + outageRecoveryMilliseconds;
    if (value === undefined) {
      this.endpoints.removeEntry(key, this.recoveringUntil);
      return;
    }
    const decoded = this.codec.decodeEndpoint(key, value);
    if (decoded.isErr) {
      this.refuseRecord(Topic.Endpoints, record, decoded.error);
      return;
    }
    const entry = decoded.value;
    const state = this.endpoints.find(key);
    const known = state && {
      bornAt: state.bornAt,
      isDraining: state.entry.isDraining,
    };
    const removed = this.removedBornAt.get(key);
    if (!canApplyCopiedEntry(entry, known, removed)) return;
    this.endpoints.applyEntry(entry);
  }

  private recordRemoval(id: string): void {
    const state = this.endpoints.find(id);
    if (state === undefined) return;
    this.removedBornAt.delete(id);
    this.removedBornAt.set(id, state.bornAt);
    if (this.removedBornAt.size <= maxRemoved) return;
    const [oldest] = this.removedBornAt.keys();
    this.removedBornAt.delete(oldest!);
  }

  /** Computes when an endpoint whose record is gone may no longer be used. */
  private computeRemovalTime(id: string): Instant {
    const now = this.getNow();
    const state = this.endpoints.find(id);
    const isConfirmed =
      state === undefined ||
      state.entry.isDraining ||
      isFailing(state.health, now);
    if (isConfirmed) return Math.max(now, this.recoveringUntil);
    const listedAt = this.topics[Topic.Endpoints].asOf;
    const delay = this.drainMilliseconds * removalDelayShare;
    return Math.max(listedAt + delay, this.recoveringUntil);
  }

  private refuseRecord(
    topic: Topic,
    record: KeyedRecord,
    reason: string,
  ): void {
    this.recordRefusal(GatewayEvent.RecordRefused, topic, record, reason);
  }

  private recordRefusal(
    event: GatewayEvent,
    topic: Topic,
    {key, offset}: KeyedRecord,
    reason: string,
  ): void {
    const fields = {topic, key, offset};
    this.refusals.record(event, `${topic} ${key}`, reason, fields);
  }
}
