import {performance} from 'node:perf_hooks';
import {
  computeFirstReadDelay,
  findEarliestSending,
  Listener,
  planStop,
  type ReadSchedule,
  type StopPlan,
} from '@zinniaspindle/decisions';
import {
  formatAddress,
  GatewayEvent,
  millisecondsPerSecond,
  type Instant,
} from '@zinniaspindle/shared';
import {directoryTtlSeconds} from '../directory/directory_server.js';
import type {EventLog} from '../log/event_log.js';
import {Counter} from '../log/metrics.js';
import {computeHeartbeatPeriod} from '../peers/heartbeat_period.js';
import type {TopicState} from '../following/topic_state.js';
import {
  computeRank,
  computeRankWeight,
  type RankedVm,
} from '../peers/compute_rank.js';
import {PeerMessageKind, PeerPhase} from '../peers/messages.js';
import {Topic, type GatewaySettings} from '../ports/index.js';
import {AddressPublisher} from './address_publisher.js';
import {
  buildParts,
  deriveSchedule,
  type GatewayParts,
  type GatewayPorts,
} from './gateway_parts.js';
import {LoopTurns} from './loop_turns.js';
import {PauseDetector} from './pause_detector.js';
import {stopGracefully} from './stop_gracefully.js';
import {TaskRunner} from './task_runner.js';

const tickMilliseconds = 40;
/** Short enough for the stall detection to notice gaps of 80 ms in time. */
const stallCheckMilliseconds = 20;
const heartbeatMilliseconds = 250;
/**
 * Frequent enough, since peers count as silent after a second at the earliest.
 */
const rankMilliseconds = 200;
/**
 * Time to discover peers: VMs start within 0.3 s of each other, and a start
 * takes as long.
 */
const peerDiscoveryMilliseconds = 600;
const orderMilliseconds = 100;
const publishMilliseconds = 1000;
const quarantineMilliseconds = 100;
/** Shorter than the margin to the time-outs of endpoints for idle connections. */
const sweepMilliseconds = 100;
const unreadMilliseconds = 250;

/**
 * An entry VM: serves callers, follows the store and exchanges state with its
 * peers.
 */
export class Gateway {
  private readonly parts: GatewayParts;
  private readonly tasks: TaskRunner;
  private readonly pauseDetector = new PauseDetector(
    tickMilliseconds,
    () => performance.now(),
    Date.now,
  );
  private readonly turns = new LoopTurns(getMonotonic);
  private phase = PeerPhase.Starting;
  /**
   * Rank of this VM among the live VMs; the VM of rank 0 reads the store first.
   */
  private rank = 0;
  /** The same among the VMs that the store serves; undefined if not this one. */
  private readerRank: number | undefined = 0;
  private readonly schedule: ReadSchedule;
  private readonly ownRanked: RankedVm;
  private startedAt: Instant = -Infinity;
  private lastHeartbeatAt: Instant = -Infinity;
  private stopPlan: StopPlan | undefined;
  private stopped: Promise<void> | undefined;
  private readonly publisher: AddressPublisher;

  constructor(
    private settings: GatewaySettings,
    private readonly ports: GatewayPorts,
    private readonly log: EventLog,
  ) {
    this.tasks = new TaskRunner(log);
    this.schedule = deriveSchedule(settings);
    const {vm, linkMegabits} = settings;
    this.ownRanked = {vm, linkMegabits, rankWeight: computeRankWeight(vm)};
    this.parts = buildParts({
      settings,
      ports,
      log,
      getNow: getMonotonic,
      getPhase: () => this.phase,
      findStopPlan: () => this.stopPlan,
      getRank: () => this.rank,
      schedule: this.schedule,
    });
    const {eras, mesh, metrics} = this.parts;
    this.publisher = new AddressPublisher(
      ports.store,
      eras,
      mesh,
      metrics,
      vm,
      this.getPeerAddress(),
      getMonotonic,
      Math.random,
    );
  }

  /** Opens the listeners and starts the periodic tasks. */
  async start(): Promise<void> {
    const {listen, seeds, vm, dataCentre} = this.settings;
    const {mesh, directory, callers, orders, storeReplica, keeper} = this.parts;
    this.startedAt = getMonotonic();
    this.log.write(GatewayEvent.Started, {vm, dataCentre});
    await mesh.open(listen.peers, seeds);
    await directory.open(Listener.Ready, listen.ready);
    await directory.open(Listener.Directory, listen.directory);
    if (listen.metrics !== undefined) {
      await directory.open(Listener.Metrics, listen.metrics);
    }
    await callers.open(listen.callers);
    this.turns.start();
    const {tasks} = this;
    tasks.start('tick', tickMilliseconds, () => this.runTick());
    tasks.start('stalls', stallCheckMilliseconds, () => this.checkStalls());
    tasks.start('rank', rankMilliseconds, () => this.updateRank());
    tasks.start('beat', heartbeatMilliseconds, () => this.sendHeartbeatIfDue());
    tasks.start('orders', orderMilliseconds, () => {
      orders.run(storeReplica.findConfiguration());
    });
    tasks.start('quarantine', quarantineMilliseconds, () => keeper.poll());
    tasks.start('unread', unreadMilliseconds, () => {
      callers.closeUnread();
      directory.closeUnread();
    });
    const {kept} = this.parts;
    if (kept !== undefined) {
      tasks.start('kept', sweepMilliseconds, () => kept.dropStale());
    }
    tasks.start('publish', publishMilliseconds, () => this.publishAddress());
    this.runTick();
  }

  /** Applies reloaded settings, except for the addresses to listen on. */
  applySettings(settings: GatewaySettings): void {
    const {listen} = this.settings;
    this.settings = {...settings, listen};
    this.log.write(GatewayEvent.SettingsReloaded, {});
  }

  /**
   * Shuts down gracefully: leaves the directory, finishes the requests in
   * flight, then closes. Repeated calls wait for the same stop.
   */
  stop(): Promise<void> {
    if (this.stopPlan !== undefined) {
      this.log.write(GatewayEvent.StopRepeated, {
        sinceMs: Math.round(getMonotonic() - this.stopPlan.startedAt),
        inFlight: this.parts.callers.countInFlight(),
      });
    }
    this.stopped ??= this.runStop();
    return this.stopped;
  }

  private async runStop(): Promise<void> {
    const {graceMilliseconds} = this.settings.bounds;
    const directoryTtlMilliseconds =
      directoryTtlSeconds * millisecondsPerSecond;
    const stopSettings = {directoryTtlMilliseconds, graceMilliseconds};
    const handledAt = getMonotonic();
    const sentAt = findEarliestSending(this.turns.list(), handledAt);
    const plan = planStop(stopSettings, sentAt, handledAt);
    this.stopPlan = plan;
    this.phase = PeerPhase.Leaving;
    this.log.write(GatewayEvent.NotReady, {reason: 'shutting down'});
    this.sendHeartbeat();
    const {ownership, callers, relays, kept, mesh, directory} = this.parts;
    void this.ports.store.appendRecord(
      Topic.Vms,
      this.getPeerAddress(),
      undefined,
    );
    void ownership.release();
    kept?.close();
    const countRelayed = () => relays.count();
    const {log} = this;
    await stopGracefully(
      plan,
      sentAt,
      callers,
      countRelayed,
      getMonotonic,
      log,
    );
    this.tasks.stop();
    this.turns.stop();
    callers.close();
    this.parts.quarantine.close();
    mesh.close();
    directory.close();
    // Half of the time that is left before a kill at the end of the grace period.
    const killAt = sentAt + graceMilliseconds;
    await this.log.close((plan.exitAt + killAt) / 2);
  }

  private runTick(): void {
    const {followers, mesh, ownership, endpoints, prober, links} = this.parts;
    this.checkPause();
    const ranks = {reader: this.readerRank, live: this.rank};
    for (const follower of followers) {
      if (this.canReadTopic(follower.state)) follower.poll(ranks);
    }
    if (this.hasDiscoveredPeers()) {
      ownership.poll(this.readerRank, mesh.hasOwner());
    }
    mesh.checkSilence();
    endpoints.expireRemovals();
    prober.probeFailing();
    links.runTrials(id => endpoints.find(id)?.entry.address);
    this.checkReady();
  }

  /** A VM that has just started does not know yet which VM owns the orders. */
  private hasDiscoveredPeers(): boolean {
    if (this.phase === PeerPhase.Leaving) return false;
    return getMonotonic() - this.startedAt >= peerDiscoveryMilliseconds;
  }

  /**
   * When all VMs start together, the first of them reads the store and sends a
   * snapshot to the others.
   */
  private canReadTopic({next}: TopicState): boolean {
    if (!this.settings.isFirstStart || next !== undefined) return true;
    const delay = computeFirstReadDelay(this.rank, this.schedule);
    const readAt = this.startedAt + peerDiscoveryMilliseconds + delay;
    return getMonotonic() >= readAt;
  }

  private checkPause(): void {
    const pauseMs = this.pauseDetector.measure();
    if (pauseMs === 0) return;
    this.log.write(GatewayEvent.ProcessPaused, {pauseMs});
    for (const {state} of this.parts.followers) state.expireAge();
    this.parts.paths.resumeWatches();
  }

  private checkStalls(): void {
    const {mesh, paths, prober, metrics, queue} = this.parts;
    queue.run();
    for (const path of paths.listStalled()) {
      metrics.count(Counter.Stalls);
      if (paths.isTimedOut(path)) paths.dropStreams(path);
      const drop = () => paths.dropStreams(path);
      void prober.probePath(path, drop).then(isUp => {
        if (isUp) paths.recordAnswers(path, mesh.countLive() + 1);
      });
    }
  }

  private checkReady(): void {
    if (this.phase !== PeerPhase.Starting) return;
    const {storeReplica} = this.parts;
    if (storeReplica.findConfiguration() === undefined) return;
    if (storeReplica.topics[Topic.Endpoints].next === undefined) return;
    this.phase = PeerPhase.Ready;
    this.log.write(GatewayEvent.Ready, {});
    this.sendHeartbeat();
  }

  private sendHeartbeatIfDue(): void {
    const now = getMonotonic();
    const period = computeHeartbeatPeriod(this.parts.mesh.listStaying().length);
    // The margin keeps a slightly late timer from skipping a heartbeat.
    if (now - this.lastHeartbeatAt < period - heartbeatMilliseconds / 2) return;
    this.sendHeartbeat();
  }

  private sendHeartbeat(): void {
    this.lastHeartbeatAt = getMonotonic();
    const {mesh, ownership, peerHandler, loads, eras, quarantine, waiters} =
      this.parts;
    mesh.sendAll({
      kind: PeerMessageKind.Heartbeat,
      phase: this.phase,
      isOwner: ownership.findFencingToken() !== undefined,
      canRead: this.canRead(),
      sentAt: Date.now(),
      topics: peerHandler.listAges(),
      loads: loads.listOwn(),
      storeEra: eras.known,
      quarantines: quarantine.listRows(),
      demands: waiters.listRows(),
    });
  }

  private updateRank(): void {
    const live = this.parts.mesh.listLive();
    this.rank = computeRank(this.ownRanked, live);
    const readers = live.filter(({canRead}) => canRead);
    this.readerRank = this.canRead()
      ? computeRank(this.ownRanked, readers)
      : undefined;
  }

  private canRead(): boolean {
    return this.parts.followers.every(follower => follower.canRead());
  }

  private getPeerAddress(): string {
    return formatAddress(this.settings.listen.peers);
  }

  private publishAddress(): void {
    if (this.phase === PeerPhase.Leaving) return;
    this.publisher.poll(this.rank);
    if (this.rank === 0) this.parts.prober.checkLimits();
  }
}

function getMonotonic(): Instant {
  return performance.now();
}
