import {isFailing} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {EndpointTable} from '../fleet/endpoint_table.js';
import type {WriteEvent} from '../log/event_log.js';
import {
  Topic,
  type Configuration,
  type KeyedRecord,
  type RecordCodec,
} from '../ports/index.js';
import {TopicState} from './topic_state.js';

/** Entries that lapsed in an outage are back within 2 s of its end. */
const lapseGraceMilliseconds = 2300;
/**
 * An entry that vanishes without notice may only have missed its beats, and is
 * back with the next one, after 1.2 s. No work may reach an endpoint 2 s after
 * the store removed it; this counts from the last time it was surely listed.
 */
const removalMilliseconds = 1300;
/** A longer gap in the knowledge of endpoints counts as an outage. */
const outageMilliseconds = 2500;

/** What this VM knows from the store: the configuration and the endpoints. */
export class Knowledge {
  readonly topics: Readonly<
    Record<Topic.Configuration | Topic.Endpoints, TopicState>
  >;
  private newestConfiguration: Configuration | undefined;
  private recoveringUntil: Instant = -Infinity;

  constructor(
    private readonly codec: RecordCodec,
    private readonly endpoints: EndpointTable,
    private readonly writeEvent: WriteEvent,
    private readonly getNow: () => Instant,
    private readonly handleConfiguration: (
      configuration: Configuration,
    ) => void,
  ) {
    this.topics = {
      [Topic.Configuration]: new TopicState(Topic.Configuration, record => {
        this.applyConfiguration(record);
      }),
      [Topic.Endpoints]: new TopicState(Topic.Endpoints, record => {
        this.applyEndpoint(record);
      }),
    };
  }

  /** Finds the newest configuration; undefined before any is known. */
  findConfiguration(): Configuration | undefined {
    return this.newestConfiguration;
  }

  /** Notes, before news is taken, whether it ends an outage. */
  checkOutage(): void {
    const state = this.topics[Topic.Endpoints];
    const now = this.getNow();
    const isGap = now - state.asOf > outageMilliseconds;
    if (state.next !== undefined && isGap) {
      this.recoveringUntil = now + lapseGraceMilliseconds;
    }
  }

  private applyConfiguration(record: KeyedRecord): void {
    const {key, value, offset} = record;
    if (key !== this.codec.configurationKey || value === undefined) return;
    const configuration = this.codec.decodeConfiguration(value);
    const known = this.newestConfiguration;
    if (configuration === undefined) {
      this.refuseRecord(Topic.Configuration, record);
      return;
    }
    if (known !== undefined && configuration.version <= known.version) return;
    this.newestConfiguration = configuration;
    this.writeEvent(GatewayEvent.ConfigurationApplied, {
      version: configuration.version,
      offset,
      routes: configuration.routes.length,
    });
    this.handleConfiguration(configuration);
  }

  private applyEndpoint(record: KeyedRecord): void {
    const {key, value} = record;
    if (value === undefined) {
      this.endpoints.removeEntry(key, this.computeRemoval(key));
      return;
    }
    const entry = this.codec.decodeEndpoint(key, value);
    if (entry === undefined) this.refuseRecord(Topic.Endpoints, record);
    else this.endpoints.applyEntry(entry);
  }

  private computeRemoval(id: string): Instant {
    const now = this.getNow();
    const state = this.endpoints.find(id);
    const isBelieved =
      state === undefined ||
      state.entry.isDraining ||
      isFailing(state.health, now);
    if (isBelieved) return Math.max(now, this.recoveringUntil);
    const listedAt = this.topics[Topic.Endpoints].asOf;
    return Math.max(listedAt + removalMilliseconds, this.recoveringUntil);
  }

  private refuseRecord(topic: Topic, {key, offset}: KeyedRecord): void {
    this.writeEvent(GatewayEvent.RecordRefused, {topic, key, offset});
  }
}
