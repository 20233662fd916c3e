import {FailureCause, isConfirmedFailed} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import type {EndpointState} from '../fleet/endpoint_state.js';
import type {EndpointTable} from '../fleet/endpoint_table.js';
import type {EndpointProber} from '../fleet/endpoint_prober.js';
import type {StoreReplica} from '../following/store_replica.js';
import type {TopicState} from '../following/topic_state.js';
import {Topic, type KeyedRecord} from '../ports/index.js';
import {
  PeerMessageKind,
  type SuspicionMessage,
  type Heartbeat,
  type TopicSnapshot,
  type OrderMessage,
  type PeerMessage,
  type RecordRow,
  type Records,
  type TopicAge,
} from './messages.js';
import type {Peer} from './peer_mesh.js';

/** Minimum interval between requests for snapshots. */
const minRequestIntervalMilliseconds = 200;
/** How long an endpoint suspected by several VMs is excluded. */
const exclusionMilliseconds = 1500;
/**
 * Minimum interval between refutations for one endpoint; one answers all VMs
 * that suspect it.
 */
const refutationIntervalMilliseconds = 300;
/** Larger ages are sent as this one, since all of them are too old. */
const maxAgeMilliseconds = 600_000;

/** Handles messages from peers and forwards records that this VM read. */
export class PeerHandler {
  private nextRequestAt: Instant = 0;

  constructor(
    private readonly storeReplica: StoreReplica,
    private readonly endpoints: EndpointTable,
    private readonly prober: EndpointProber,
    private readonly handleOrder: (order: OrderMessage) => void,
    private readonly sendTo: (peer: Peer, message: PeerMessage) => void,
    private readonly sendAll: (message: PeerMessage) => void,
    /**
     * Whether this VM is one of the few that send refutations in a large fleet.
     */
    private readonly isVoter: () => boolean,
    private readonly countPeers: () => number,
    private readonly getNow: () => Instant,
  ) {}

  /** Handles a message from a peer. */
  handle(peer: Peer, message: PeerMessage): void {
    switch (message.kind) {
      case PeerMessageKind.Hello:
        return;
      case PeerMessageKind.Heartbeat:
        return this.acceptHeartbeat(peer, message);
      case PeerMessageKind.Records:
        return this.acceptRecords(peer, message);
      case PeerMessageKind.SnapshotRequest:
        return this.sendSnapshot(peer, message.topic);
      case PeerMessageKind.Snapshot:
        return this.acceptSnapshot(message);
      case PeerMessageKind.Suspicion:
        return this.acceptSuspicion(peer, message);
      case PeerMessageKind.Refutation:
        this.endpoints.recordRefutation(message.id, message.bornAt, peer.vm);
        return;
      case PeerMessageKind.Facts:
        this.endpoints.applyReport(message.facts);
        return;
      case PeerMessageKind.Order:
        return this.handleOrder(message);
    }
  }

  /** Lists the next offset and age of this VM's copy of each topic. */
  listAges(): TopicAge[] {
    const ages: TopicAge[] = [];
    for (const {topic, next, asOf} of this.listStates()) {
      if (next === undefined) continue;
      const age = Math.min(maxAgeMilliseconds, this.getNow() - asOf);
      ages.push({topic, next, ageMilliseconds: Math.ceil(age)});
    }
    return ages;
  }

  /** Forwards records that this VM read from the store. */
  sendRecords(
    topic: Topic,
    from: number,
    records: readonly KeyedRecord[],
    sendAll: (message: PeerMessage) => void,
  ): void {
    const rows = records.map(toRow);
    sendAll({kind: PeerMessageKind.Records, topic, from, rows});
  }

  private acceptHeartbeat(peer: Peer, heartbeat: Heartbeat): void {
    const now = this.getNow();
    for (const {topic, next, ageMilliseconds} of heartbeat.topics) {
      const state = this.findState(topic);
      if (state === undefined) continue;
      if (state.next === undefined || next > state.next) {
        this.sendSnapshotRequest(peer, topic);
      } else if (next === state.next) {
        state.updateAge(next, now - ageMilliseconds);
      }
    }
  }

  private acceptRecords(peer: Peer, {topic, from, rows}: Records): void {
    const state = this.findState(topic);
    if (state === undefined) return;
    this.storeReplica.checkOutage();
    const records = rows.map(toRecord);
    const isAccepted = state.acceptBatch(from, records, this.getNow());
    if (!isAccepted) this.sendSnapshotRequest(peer, topic);
  }

  private sendSnapshotRequest(peer: Peer, topic: Topic): void {
    const now = this.getNow();
    if (now < this.nextRequestAt) return;
    this.nextRequestAt = now + minRequestIntervalMilliseconds;
    this.sendTo(peer, {kind: PeerMessageKind.SnapshotRequest, topic});
  }

  private sendSnapshot(peer: Peer, topic: Topic): void {
    const state = this.findState(topic);
    if (state?.next === undefined) return;
    const age = Math.min(maxAgeMilliseconds, this.getNow() - state.asOf);
    this.sendTo(peer, {
      kind: PeerMessageKind.Snapshot,
      topic,
      next: state.next,
      ageMilliseconds: Math.ceil(age),
      rows: state.listNewest().map(toRow),
    });
    if (topic === Topic.Endpoints) this.sendFacts(peer);
  }

  /**
   * Sends endpoint reports after a snapshot: they are newer than the endpoint
   * records, which lag and are not updated during a store outage.
   */
  private sendFacts(peer: Peer): void {
    for (const facts of this.endpoints.listFacts()) {
      this.sendTo(peer, {kind: PeerMessageKind.Facts, facts});
    }
  }

  private acceptSnapshot(message: TopicSnapshot): void {
    const state = this.findState(message.topic);
    if (state === undefined) return;
    this.storeReplica.checkOutage();
    const asOf = this.getNow() - message.ageMilliseconds;
    state.acceptNewest(message.rows.map(toRecord), message.next, asOf);
  }

  /**
   * Records a peer's suspicion of an endpoint, and checks it, since a
   * partitioned peer suspects all endpoints.
   */
  private acceptSuspicion(peer: Peer, suspicion: SuspicionMessage): void {
    const {id, bornAt, cause} = suspicion;
    const state = this.endpoints.find(id);
    if (state === undefined || state.bornAt !== bornAt) return;
    const now = this.getNow();
    state.health.suspicions.set(peer.vm, {at: now, cause});
    if (isConfirmedFailed(state.health, this.countPeers(), now)) {
      const until = now + exclusionMilliseconds;
      this.endpoints.recordSuspicion(state, until, 'suspected by several VMs');
    }
    void this.verifySuspicion(state, cause);
  }

  /**
   * Checks whether a suspected endpoint answers this VM, and if so refutes the
   * suspicion. An answer does not refute that the endpoint refuses requests.
   */
  private async verifySuspicion(
    state: EndpointState,
    cause: FailureCause,
  ): Promise<void> {
    const answers = await this.prober.checkSuspicion(state);
    if (!answers || cause === FailureCause.Refusing) return;
    const now = this.getNow();
    const {bornAt, health, entry} = state;
    if (now < health.nextRefutationAt || !this.isVoter()) return;
    health.nextRefutationAt = now + refutationIntervalMilliseconds;
    const {id} = entry;
    this.sendAll({kind: PeerMessageKind.Refutation, id, bornAt});
  }

  private findState(topic: Topic): TopicState | undefined {
    return this.listStates().find(state => state.topic === topic);
  }

  private listStates(): TopicState[] {
    return Object.values(this.storeReplica.topics);
  }
}

function toRow({key, value, offset}: KeyedRecord): RecordRow {
  return [key, value ?? null, offset];
}

function toRecord([key, value, offset]: RecordRow): KeyedRecord {
  const bytes = value === null ? undefined : Buffer.from(value);
  return {key, value: bytes, offset};
}
