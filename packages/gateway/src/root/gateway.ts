import {performance} from 'node:perf_hooks';
import {formatAddress, GatewayEvent, type Instant} from '@zinniaspindle/shared';
import {directoryTtlSeconds} from '../directory/directory_server.js';
import type {EventLog} from '../log/event_log.js';
import {Counter} from '../log/metrics.js';
import {computeHeartbeatPeriod} from '../peers/heartbeat_period.js';
import {computeRank} from '../peers/compute_rank.js';
import {PeerMessageKind, PeerPhase} from '../peers/messages.js';
import {Topic, type GatewaySettings} from '../ports/index.js';
import {
  buildParts,
  type GatewayParts,
  type GatewayPorts,
} from './gateway_parts.js';
import {PauseWatch} from './pause_watch.js';
import {runStop} from './run_stop.js';
import {TaskRunner} from './task_runner.js';

const tickMilliseconds = 40;
/** The stall watch needs to see gaps of 80 ms in time. */
const stallMilliseconds = 20;
const beatMilliseconds = 250;
/** Silent peers are noticed after a second at the earliest. */
const rankMilliseconds = 200;
/** VMs start within 0.3 s of each other, and a start takes as long. */
const acquaintMilliseconds = 600;
/** As many addresses in the store outlast the loss of any seeds. */
const publishedVms = 16;
const orderMilliseconds = 100;
const publishMilliseconds = 1000;

/** One entry VM: serves callers, follows the store, keeps up with its peers. */
export class Gateway {
  private readonly parts: GatewayParts;
  private readonly tasks: TaskRunner;
  private readonly pauses = new PauseWatch(
    tickMilliseconds,
    () => performance.now(),
    Date.now,
  );
  private phase = PeerPhase.Starting;
  /** The place of this VM among those that live; the first reads the store. */
  private rank = 0;
  private startedAt: Instant = -Infinity;
  private beatAt: Instant = -Infinity;
  private isPublished = false;
  private isPublishing = false;

  constructor(
    private settings: GatewaySettings,
    private readonly ports: GatewayPorts,
    private readonly log: EventLog,
  ) {
    this.tasks = new TaskRunner(log);
    this.parts = buildParts({
      settings,
      ports,
      log,
      getNow: getMonotonic,
      getPhase: () => this.phase,
      getRank: () => this.rank,
    });
  }

  /** Starts to listen, to follow the store and to call peers. */
  async start(): Promise<void> {
    const {listen, seeds, vm, dataCentre} = this.settings;
    const {mesh, directory, callers, orders, storeReplica} = this.parts;
    this.startedAt = getMonotonic();
    this.log.write(GatewayEvent.Started, {vm, dataCentre});
    await mesh.open(listen.peers, seeds);
    await directory.open(listen.ready);
    await directory.open(listen.directory);
    if (listen.metrics !== undefined) await directory.open(listen.metrics);
    await callers.open(listen.callers);
    const {tasks} = this;
    tasks.start('tick', tickMilliseconds, () => this.runTick());
    tasks.start('stalls', stallMilliseconds, () => this.checkStalls());
    tasks.start('rank', rankMilliseconds, () => this.updateRank());
    tasks.start('beat', beatMilliseconds, () => this.sendBeatInTurn());
    tasks.start('orders', orderMilliseconds, () => {
      orders.run(storeReplica.findConfiguration());
    });
    tasks.start('publish', publishMilliseconds, () => this.publishAddress());
    this.runTick();
  }

  /** Takes settings that were read again; addresses stay as they were. */
  applySettings(settings: GatewaySettings): void {
    const {listen} = this.settings;
    this.settings = {...settings, listen};
    this.log.write(GatewayEvent.SettingsReloaded, {});
  }

  /** Stops as planned: no new callers, then no connections, then the end. */
  async stop(): Promise<void> {
    if (this.phase === PeerPhase.Leaving) return;
    this.phase = PeerPhase.Leaving;
    this.sendBeat();
    const {ownership, callers, mesh, directory} = this.parts;
    void this.ports.store.appendRecord(
      Topic.Vms,
      this.getPeerAddress(),
      undefined,
    );
    void ownership.release();
    await runStop(
      callers,
      directoryTtlSeconds,
      this.settings.bounds.graceMilliseconds,
      this.log,
    );
    this.tasks.stop();
    mesh.close();
    directory.close();
    this.log.close();
  }

  private runTick(): void {
    const {followers, mesh, ownership, endpoints, prober} = this.parts;
    this.checkPause();
    for (const follower of followers) follower.poll(this.rank);
    if (this.isAcquainted()) ownership.poll(this.rank, mesh.hasOwner());
    mesh.checkSilence();
    endpoints.expireRemovals();
    prober.probeFailing();
    this.checkReady();
  }

  /** A VM that has just started does not know yet who owns the orders. */
  private isAcquainted(): boolean {
    if (this.phase === PeerPhase.Leaving) return false;
    return getMonotonic() - this.startedAt >= acquaintMilliseconds;
  }

  private checkPause(): void {
    const pauseMs = this.pauses.measure();
    if (pauseMs === 0) return;
    this.log.write(GatewayEvent.ProcessPaused, {pauseMs});
    for (const {state} of this.parts.followers) state.expireAge();
    this.parts.paths.resumeWatches();
  }

  private checkStalls(): void {
    const {mesh, paths, prober, metrics} = this.parts;
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
    this.sendBeat();
  }

  private sendBeatInTurn(): void {
    const now = getMonotonic();
    const period = computeHeartbeatPeriod(this.parts.mesh.listKnown().length);
    // A timer that is a little late must not double the period.
    if (now - this.beatAt < period - beatMilliseconds / 2) return;
    this.sendBeat();
  }

  private sendBeat(): void {
    this.beatAt = getMonotonic();
    const {mesh, ownership, peerHandler, loads} = this.parts;
    mesh.sendAll({
      kind: PeerMessageKind.Heartbeat,
      phase: this.phase,
      isOwner: ownership.findFencingToken() !== undefined,
      topics: peerHandler.listAges(),
      loads: loads.listOwn(),
    });
  }

  private updateRank(): void {
    this.rank = computeRank(this.settings, this.parts.mesh.listLive());
  }

  private getPeerAddress(): string {
    return formatAddress(this.settings.listen.peers);
  }

  /** Tells the store and the VMs listed there where this VM hears peers. */
  private publishAddress(): void {
    if (this.isPublished || this.isPublishing) return;
    if (this.phase === PeerPhase.Leaving) return;
    if (this.rank >= publishedVms) return;
    this.isPublishing = true;
    void this.publishOnce().finally(() => {
      this.isPublishing = false;
    });
  }

  private async publishOnce(): Promise<void> {
    const {store} = this.ports;
    const {mesh, metrics} = this.parts;
    metrics.count(Counter.StoreCalls);
    const newest = await store.readNewest(Topic.Vms);
    if (newest.isErr) return metrics.count(Counter.StoreFailures);
    for (const {key} of newest.value.records) mesh.addAddress(key);
    metrics.count(Counter.StoreCalls);
    const value = Buffer.from(this.settings.vm);
    const address = this.getPeerAddress();
    const added = await store.appendRecord(Topic.Vms, address, value);
    if (added.isErr) return metrics.count(Counter.StoreFailures);
    this.isPublished = true;
  }
}

function getMonotonic(): Instant {
  return performance.now();
}
