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

/** Missing records are asked for at most this often. */
const askMilliseconds = 200;
/** An endpoint that several VMs found failing is left out this long. */
const lostMilliseconds = 1500;
/** Many accuse an endpoint at once; one voucher answers them all. */
const vouchMilliseconds = 300;
/** Ages beyond this are all the same: too old. */
const maxAgeMilliseconds = 600_000;

/** Takes what peers tell, and tells them what this VM read. */
export class PeerHandler {
  private askAt: Instant = 0;

  constructor(
    private readonly storeReplica: StoreReplica,
    private readonly endpoints: EndpointTable,
    private readonly prober: EndpointProber,
    private readonly handleOrder: (order: OrderMessage) => void,
    private readonly sendTo: (peer: Peer, message: PeerMessage) => void,
    private readonly sendAll: (message: PeerMessage) => void,
    /** Whether this VM is one of the few that keep reporting on endpoints in a large fleet. */
    private readonly isVoter: () => boolean,
    private readonly countPeers: () => number,
    private readonly getNow: () => Instant,
  ) {}

  /** Handles a message of a peer. */
  handle(peer: Peer, message: PeerMessage): void {
    switch (message.kind) {
      case PeerMessageKind.Hello:
        return;
      case PeerMessageKind.Heartbeat:
        return this.acceptBeat(peer, message);
      case PeerMessageKind.Records:
        return this.acceptRecords(peer, message);
      case PeerMessageKind.SnapshotRequest:
        return this.answerAsk(peer, message.topic);
      case PeerMessageKind.Snapshot:
        return this.acceptNewest(message);
      case PeerMessageKind.Suspicion:
        return this.acceptAccusation(peer, message);
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

  /** Lists the position of this VM's replica of each topic. */
  listAges(): TopicAge[] {
    const ages: TopicAge[] = [];
    for (const {topic, next, asOf} of this.listStates()) {
      if (next === undefined) continue;
      const age = Math.min(maxAgeMilliseconds, this.getNow() - asOf);
      ages.push({topic, next, ageMilliseconds: Math.ceil(age)});
    }
    return ages;
  }

  /** Passes on records that this VM read from the store. */
  sendRecords(
    topic: Topic,
    from: number,
    records: readonly KeyedRecord[],
    sendAll: (message: PeerMessage) => void,
  ): void {
    const rows = records.map(toRow);
    sendAll({kind: PeerMessageKind.Records, topic, from, rows});
  }

  private acceptBeat(peer: Peer, beat: Heartbeat): void {
    const now = this.getNow();
    for (const {topic, next, ageMilliseconds} of beat.topics) {
      const state = this.findState(topic);
      if (state === undefined) continue;
      if (state.next === undefined || next > state.next) {
        this.askFor(peer, topic);
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
    const isTaken = state.acceptBatch(from, records, this.getNow());
    if (!isTaken) this.askFor(peer, topic);
  }

  private askFor(peer: Peer, topic: Topic): void {
    const now = this.getNow();
    if (now < this.askAt) return;
    this.askAt = now + askMilliseconds;
    this.sendTo(peer, {kind: PeerMessageKind.SnapshotRequest, topic});
  }

  private answerAsk(peer: Peer, topic: Topic): void {
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

  /** The list lags, and stands still in an outage; what was asked is newer. */
  private sendFacts(peer: Peer): void {
    for (const facts of this.endpoints.listFacts()) {
      this.sendTo(peer, {kind: PeerMessageKind.Facts, facts});
    }
  }

  private acceptNewest(message: TopicSnapshot): void {
    const state = this.findState(message.topic);
    if (state === undefined) return;
    this.storeReplica.checkOutage();
    const asOf = this.getNow() - message.ageMilliseconds;
    state.acceptNewest(message.rows.map(toRecord), message.next, asOf);
  }

  /** What a peer says of an endpoint is checked, not believed. */
  private acceptAccusation(peer: Peer, accusation: SuspicionMessage): void {
    const {id, bornAt, cause} = accusation;
    const state = this.endpoints.find(id);
    if (state === undefined || state.bornAt !== bornAt) return;
    const now = this.getNow();
    state.health.suspicions.set(peer.vm, {at: now, cause});
    if (isConfirmedFailed(state.health, this.countPeers(), now)) {
      const until = now + lostMilliseconds;
      this.endpoints.recordSuspicion(
        state,
        until,
        'several VMs found it failing',
      );
    }
    void this.checkAccusation(state, cause);
  }

  /** Asks an accused endpoint, and tells the others when it answers. */
  private async checkAccusation(
    state: EndpointState,
    cause: FailureCause,
  ): Promise<void> {
    const answers = await this.prober.checkSuspicion(state);
    if (!answers || cause === FailureCause.Refusing) return;
    const now = this.getNow();
    const {bornAt, health, entry} = state;
    if (now < health.nextRefutationAt || !this.isVoter()) return;
    health.nextRefutationAt = now + vouchMilliseconds;
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
