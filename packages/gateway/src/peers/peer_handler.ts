import {
  FailureCause,
  isConfirmedFailed,
  isLaterEra,
  parseEra,
  recordDelay,
  type StoreEra,
} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import type {EndpointState} from '../fleet/endpoint_state.js';
import type {EndpointTable} from '../fleet/endpoint_table.js';
import type {EndpointProber} from '../fleet/endpoint_prober.js';
import type {EraWatch} from '../following/era_watch.js';
import type {PartMessages} from '../quarantine/part_messages.js';
import type {StoreReplica} from '../following/store_replica.js';
import type {TopicState} from '../following/topic_state.js';
import {Topic, type KeyedRecord} from '../ports/index.js';
import {
  makeLeavingMessage,
  PeerMessageKind,
  type SuspicionMessage,
  type Heartbeat,
  type TopicSnapshot,
  type LimitedEndpoint,
  type OrderMessage,
  type PeerMessage,
  type RecordRow,
  type RefutationMessage,
  type Records,
  type TopicAge,
} from './messages.js';
import type {Peer} from './peer_mesh.js';

/** Minimum interval between requests for snapshots of a topic. */
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
  private readonly nextRequestAt = new Map<Topic, Instant>();

  constructor(
    private readonly storeReplica: StoreReplica,
    private readonly eras: EraWatch,
    private readonly endpoints: EndpointTable,
    private readonly prober: EndpointProber,
    private readonly parts: PartMessages,
    private readonly handleOrder: (order: OrderMessage) => void,
    private readonly sendTo: (peer: Peer, message: PeerMessage) => void,
    private readonly sendAll: (message: PeerMessage) => void,
    /**
     * Whether this VM is one of the few that send refutations in a large fleet.
     */
    private readonly isVoter: () => boolean,
    private readonly countPeers: () => number,
    private readonly getNow: () => Instant,
    /** Unix milliseconds, close to the same on all VMs. */
    private readonly getWallClock: () => Instant,
  ) {}

  /** Handles a message from a peer. */
  handle(peer: Peer, message: PeerMessage): void {
    switch (message.kind) {
      case PeerMessageKind.Hello:
      case PeerMessageKind.Relay:
        return;
      case PeerMessageKind.Heartbeat:
        return this.acceptHeartbeat(peer, message);
      case PeerMessageKind.Records:
        return this.acceptRecords(peer, message);
      case PeerMessageKind.SnapshotRequest:
        return this.sendSnapshot(peer, message.topic);
      case PeerMessageKind.Snapshot:
        return this.acceptSnapshot(peer, message);
      case PeerMessageKind.Suspicion:
        return this.acceptSuspicion(peer, message);
      case PeerMessageKind.Refutation:
        return this.acceptRefutation(peer, message);
      case PeerMessageKind.Facts:
        this.endpoints.applyReport(message.facts);
        return;
      case PeerMessageKind.Order:
        return this.handleOrder(message);
    }
  }

  /**
   * Lists the next offset of this VM's copy of each topic, and the age of its
   * own last read.
   */
  listAges(): TopicAge[] {
    const ages: TopicAge[] = [];
    for (const {topic, era, next, readAsOf} of this.listStates()) {
      if (next === undefined) continue;
      const ageMilliseconds = this.computeAge(readAsOf);
      ages.push({topic, era, next, ageMilliseconds});
    }
    return ages;
  }

  /**
   * Forwards the changes that this VM read from the store, by which it knows all
   * records up to an instant.
   */
  sendChanges(
    topic: Topic.Configuration | Topic.Endpoints,
    from: number,
    changes: readonly KeyedRecord[],
    next: number,
    asOf: Instant,
  ): void {
    const {era} = this.storeReplica.topics[topic];
    this.sendAll({
      ...{kind: PeerMessageKind.Records, topic, ...makeEra(era), from, next},
      sentAt: this.getWallClock(),
      ageMilliseconds: this.computeAge(asOf),
      rows: changes.map(toRow),
    });
  }

  /** Sends a snapshot of a topic that this VM read from the store. */
  sendSnapshotToAll(topic: Topic): void {
    const snapshot = this.makeSnapshot(topic);
    if (snapshot !== undefined) this.sendAll(snapshot);
  }

  private acceptHeartbeat(peer: Peer, heartbeat: Heartbeat): void {
    const writtenAt = this.computeWrittenAt(peer, heartbeat.sentAt);
    this.eras.acceptFromPeer(heartbeat.storeEra, peer.vm);
    this.parts.acceptQuarantines(heartbeat.quarantines, peer.vm);
    for (const {topic, era, next, ageMilliseconds} of heartbeat.topics) {
      const state = this.findState(topic);
      if (state === undefined) continue;
      const isNewer =
        state.next === undefined ||
        isLaterEra(era, state.era) ||
        (era === state.era && next > state.next);
      if (isNewer) this.sendSnapshotRequest(peer, topic);
      else if (next === state.next) {
        state.updateAge(next, writtenAt - ageMilliseconds, era);
      }
    }
  }

  private acceptRecords(peer: Peer, message: Records): void {
    const {topic, from, next, rows, sentAt, ageMilliseconds = 0} = message;
    const state = this.findState(topic);
    const writtenAt = this.computeWrittenAt(peer, sentAt);
    if (state === undefined) return;
    this.storeReplica.checkOutage();
    const records = rows.map(toRecord);
    const era = parseEra(message.era);
    this.eras.acceptFromPeer(era, peer.vm);
    const asOf = writtenAt - ageMilliseconds;
    const isAccepted = state.acceptChanges(from, records, next, asOf, era);
    if (!isAccepted) this.sendSnapshotRequest(peer, topic);
  }

  /** Computes the age of what was known at an instant, as it is sent. */
  private computeAge(asOf: Instant): number {
    const age = Math.min(maxAgeMilliseconds, this.getNow() - asOf);
    return Math.ceil(age);
  }

  /**
   * Computes when a message was written, on this VM's clock. Messages wait for a
   * busy link or a paused VM, and what they say is older by that time.
   */
  private computeWrittenAt(peer: Peer, sentAt: Instant): Instant {
    const delay = recordDelay(peer.delays, sentAt, this.getWallClock());
    return this.getNow() - delay;
  }

  private sendSnapshotRequest(peer: Peer, topic: Topic): void {
    const now = this.getNow();
    if (now < (this.nextRequestAt.get(topic) ?? -Infinity)) return;
    this.nextRequestAt.set(topic, now + minRequestIntervalMilliseconds);
    this.sendTo(peer, {kind: PeerMessageKind.SnapshotRequest, topic});
  }

  private sendSnapshot(peer: Peer, topic: Topic): void {
    const snapshot = this.makeSnapshot(topic);
    if (snapshot === undefined) return;
    this.sendTo(peer, snapshot);
    if (topic === Topic.Endpoints) this.sendFacts(peer);
  }

  private makeSnapshot(topic: Topic): TopicSnapshot | undefined {
    const state = this.findState(topic);
    if (state?.next === undefined) return undefined;
    return {
      kind: PeerMessageKind.Snapshot,
      topic,
      ...makeEra(state.era),
      next: state.next,
      ageMilliseconds: this.computeAge(state.asOf),
      sentAt: this.getWallClock(),
      rows: state.listNewest().map(toRow),
    };
  }

  /**
   * Sends endpoint reports after a snapshot: they are newer than the endpoint
   * records, which lag and are not updated during a store outage. Sends the
   * endpoints that leave as well, whose records need not say so.
   */
  private sendFacts(peer: Peer): void {
    for (const facts of this.endpoints.listFacts()) {
      this.sendTo(peer, {kind: PeerMessageKind.Facts, facts});
    }
    for (const leaving of this.endpoints.listLeavingNotices()) {
      this.sendTo(peer, makeLeavingMessage(leaving));
    }
  }

  private acceptSnapshot(peer: Peer, message: TopicSnapshot): void {
    const state = this.findState(message.topic);
    const writtenAt = this.computeWrittenAt(peer, message.sentAt);
    if (state === undefined) return;
    this.storeReplica.checkOutage();
    const asOf = writtenAt - message.ageMilliseconds;
    const era = parseEra(message.era);
    this.eras.acceptFromPeer(era, peer.vm);
    const records = message.rows.map(toRecord);
    state.acceptNewest(records, message.next, asOf, era);
  }

  /**
   * Records a peer's suspicion of an endpoint, and checks it, since a
   * partitioned peer suspects all endpoints.
   */
  private acceptSuspicion(peer: Peer, suspicion: SuspicionMessage): void {
    const {id, bornAt, cause, ended} = suspicion;
    if (cause === FailureCause.Leaving) {
      this.endpoints.recordLeaving({id, bornAt}, `peer ${peer.vm}`);
      return;
    }
    if (ended !== undefined) {
      const writtenAt = this.computeWrittenAt(peer, ended.sentAt);
      this.parts.acceptEnded({id, bornAt}, ended, writtenAt);
      return;
    }
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

  private acceptRefutation(
    peer: Peer,
    {id, bornAt, answered, limited, paused, announced}: RefutationMessage,
  ): void {
    if (answered !== undefined) {
      const writtenAt = this.computeWrittenAt(peer, answered.sentAt);
      this.parts.acceptAnswered(answered, writtenAt);
    } else if (limited !== undefined) {
      this.acceptLimit(peer, limited);
    } else if (paused !== undefined) {
      const {milliseconds: pauseMilliseconds} = paused;
      const notice = {isLeaving: false, pauseMilliseconds};
      this.endpoints.acceptNotice(paused, notice, `peer ${peer.vm}`);
    } else if (announced !== undefined) {
      this.endpoints.orders.record(announced);
    } else {
      this.endpoints.recordRefutation(id, bornAt, peer.vm);
    }
  }

  private acceptLimit(peer: Peer, limited: LimitedEndpoint): void {
    const heardAt = this.computeWrittenAt(peer, limited.sentAt);
    const perSecond = limited.perSecond ?? undefined;
    this.endpoints.limits.acceptPeerLimit(limited, perSecond, heardAt, peer.vm);
  }

  private findState(topic: Topic): TopicState | undefined {
    return this.listStates().find(state => state.topic === topic);
  }

  private listStates(): TopicState[] {
    return Object.values(this.storeReplica.topics);
  }
}

/** Older builds read messages without an era, which is left out if unknown. */
function makeEra(era: StoreEra): {era?: number} {
  return era === undefined ? {} : {era};
}

function toRow({key, value, offset}: KeyedRecord): RecordRow {
  return [key, value ?? null, offset];
}

function toRecord([key, value, offset]: RecordRow): KeyedRecord {
  const bytes = value === null ? undefined : Buffer.from(value);
  return {key, value: bytes, offset};
}
