import {performance} from 'node:perf_hooks';
import {sortByWeight} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import {
  DirectoryServer,
  directorySeconds,
} from '../directory/directory_server.js';
import type {EndpointFacts} from '../fleet/endpoint_state.js';
import {EndpointTable} from '../fleet/endpoint_table.js';
import {PathTable} from '../fleet/path_table.js';
import {Probes} from '../fleet/probes.js';
import {Knowledge} from '../following/knowledge.js';
import {
  TopicFollower,
  type FollowOptions,
} from '../following/topic_follower.js';
import type {EventLog} from '../log/event_log.js';
import {Counter, Metrics} from '../log/metrics.js';
import {OrderRunner} from '../orders/order_runner.js';
import {Ownership} from '../orders/ownership.js';
import {PeerHandler} from '../peers/peer_handler.js';
import {
  PeerMessageKind,
  PeerPhase,
  type OrderMessage,
} from '../peers/messages.js';
import {PeerMesh} from '../peers/peer_mesh.js';
import {
  Topic,
  type DirectoryCodec,
  type EndpointCalls,
  type ExchangeCodec,
  type GatewaySettings,
  type RecordCodec,
  type Store,
} from '../ports/index.js';
import {CallerServer} from '../requests/caller_server.js';
import {RepeatBudgets} from '../requests/repeat_budgets.js';
import {PauseWatch} from './pause_watch.js';
import {listCallerAddresses} from './list_addresses.js';
import {runStop} from './run_stop.js';

/** What a gateway is built on. */
export interface GatewayPorts {
  readonly store: Store;
  readonly records: RecordCodec;
  readonly exchange: ExchangeCodec;
  readonly directory: DirectoryCodec;
  readonly endpoints: EndpointCalls;
}

const tickMilliseconds = 40;
/** The stall watch needs to see gaps of 80 ms in time. */
const stallMilliseconds = 20;
const beatMilliseconds = 250;
const orderMilliseconds = 100;
const publishMilliseconds = 1000;

/** An operator's change must be in force within 2 s (bounds.configApplyMs). */
const configurationOptions: FollowOptions = {
  firstMilliseconds: 0,
  othersMilliseconds: 1250,
  stepMilliseconds: 60,
  maxMilliseconds: 1550,
  waitMilliseconds: 1000,
};

/** A leaving endpoint must get no work after 2 s (bounds.drainMs). */
const endpointOptions = configurationOptions;

/** One entry VM: serves callers, follows the store, keeps up with its peers. */
export class Gateway {
  private readonly metrics = new Metrics();
  private readonly endpoints: EndpointTable;
  private readonly paths: PathTable;
  private readonly probes: Probes;
  private readonly knowledge: Knowledge;
  private readonly followers: TopicFollower[];
  private readonly mesh: PeerMesh;
  private readonly peerHandler: PeerHandler;
  private readonly ownership: Ownership;
  private readonly orders: OrderRunner;
  private readonly callers: CallerServer;
  private readonly directory: DirectoryServer;
  private readonly pauses = new PauseWatch(
    tickMilliseconds,
    () => performance.now(),
    Date.now,
  );
  private readonly timers: NodeJS.Timeout[] = [];
  private phase = PeerPhase.Starting;
  private isPublished = false;
  private isPublishing = false;

  constructor(
    private settings: GatewaySettings,
    private readonly ports: GatewayPorts,
    private readonly log: EventLog,
  ) {
    const getNow = getMonotonic;
    const {write} = log;
    const {metrics} = this;
    this.endpoints = new EndpointTable(write, getNow);
    this.paths = new PathTable(
      this.endpoints,
      settings.dataCentre,
      first => this.mesh.computeLoad(first),
      write,
      getNow,
    );
    const sendFacts = (facts: EndpointFacts) => {
      this.mesh.sendAll({kind: PeerMessageKind.Facts, facts});
    };
    this.probes = new Probes(
      this.endpoints,
      ports.endpoints,
      {
        sendFacts,
        handleDown: id => this.paths.dropRidersThrough(id),
        sendAccusation: (id, bornAt) => {
          this.mesh.sendAll({kind: PeerMessageKind.Accusation, id, bornAt});
        },
      },
      metrics,
      getNow,
    );
    this.knowledge = new Knowledge(
      ports.records,
      this.endpoints,
      write,
      getNow,
      configuration => this.callers.applyConfiguration(configuration),
    );
    this.followers = [
      this.makeFollower(Topic.Configuration, configurationOptions),
      this.makeFollower(Topic.Endpoints, endpointOptions),
    ];
    this.peerHandler = new PeerHandler(
      this.knowledge,
      this.endpoints,
      this.probes,
      order => this.applyOrder(order),
      (peer, message) => this.mesh.sendTo(peer, message),
      () => this.mesh.listLive().length,
      getNow,
    );
    const {host, port} = settings.listen.peers;
    const {callers} = settings.listen;
    this.mesh = new PeerMesh(
      {
        vm: settings.vm,
        startedAt: Date.now(),
        peerAddress: `${host}:${port}`,
        callerAddress: `${callers.host}:${callers.port}`,
      },
      (peer, message) => this.peerHandler.handle(peer, message),
      write,
      getNow,
    );
    this.ownership = new Ownership(
      ports.store,
      settings.vm,
      write,
      metrics,
      getNow,
    );
    this.orders = new OrderRunner(
      this.endpoints,
      ports.endpoints,
      this.ownership,
      {
        sendFacts,
        handleOrder: order => {
          this.applyOrder(order);
          this.mesh.sendAll({kind: PeerMessageKind.Order, ...order});
        },
      },
      () => this.mesh.listLive().length,
      write,
      metrics,
      getNow,
    );
    this.callers = new CallerServer({
      codec: ports.exchange,
      endpoints: this.endpoints,
      paths: this.paths,
      probes: this.probes,
      budgets: new RepeatBudgets(settings.bounds, () => this.countVms()),
      metrics,
      writeEvent: write,
      getNow,
      isStopping: () => this.phase === PeerPhase.Leaving,
    });
    this.directory = new DirectoryServer(ports.directory, {
      listAddresses: () => this.listAddresses(),
      isReady: () => this.phase === PeerPhase.Ready,
      renderMetrics: () => metrics.render(),
    });
  }

  /** Starts to listen, to follow the store and to call peers. */
  async start(): Promise<void> {
    const {listen, seeds, vm, dataCentre} = this.settings;
    this.log.write(GatewayEvent.Started, {vm, dataCentre});
    await this.mesh.open(listen.peers, seeds);
    await this.directory.open(listen.ready);
    await this.directory.open(listen.directory);
    if (listen.metrics !== undefined) await this.directory.open(listen.metrics);
    await this.callers.open(listen.callers);
    this.startTimer('tick', tickMilliseconds, () => this.runTick());
    this.startTimer('stalls', stallMilliseconds, () => this.checkStalls());
    this.startTimer('beat', beatMilliseconds, () => this.sendBeat());
    this.startTimer('orders', orderMilliseconds, () => {
      this.orders.run(this.knowledge.findConfiguration());
    });
    this.startTimer('publish', publishMilliseconds, () =>
      this.publishAddress(),
    );
    this.publishAddress();
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
    this.setPhase(PeerPhase.Leaving);
    this.sendBeat();
    const {peers} = this.settings.listen;
    const key = `${peers.host}:${peers.port}`;
    void this.ports.store.appendRecord(Topic.Vms, key, undefined);
    void this.ownership.release();
    await runStop(
      this.callers,
      directorySeconds,
      this.settings.bounds.graceMilliseconds,
      this.log,
    );
    for (const timer of this.timers) clearInterval(timer);
    this.mesh.close();
    this.directory.close();
    this.log.close();
  }

  private makeFollower(
    topic: Topic.Configuration | Topic.Endpoints,
    options: FollowOptions,
  ): TopicFollower {
    return new TopicFollower(
      this.knowledge.topics[topic],
      this.ports.store,
      options,
      (from, records) =>
        this.peerHandler.sendRecords(topic, from, records, message => {
          this.mesh.sendAll(message);
        }),
      () => this.knowledge.checkOutage(),
      this.log.write,
      this.metrics,
      getMonotonic,
    );
  }

  /** A task that fails is logged and runs again at its next turn. */
  private startTimer(name: string, every: number, run: () => void): void {
    const runGuarded = () => {
      try {
        run();
      } catch (error) {
        this.log.writeFailure(name, error);
      }
    };
    this.timers.push(setInterval(runGuarded, every));
  }

  private runTick(): void {
    const pauseMs = this.pauses.measure();
    if (pauseMs > 0) {
      this.log.write(GatewayEvent.Paused, {pauseMs});
      for (const {state} of this.followers) state.expireAge();
      this.paths.resumeWatches();
    }
    const rank = this.computeRank();
    for (const follower of this.followers) follower.poll(rank);
    if (this.phase !== PeerPhase.Leaving) {
      this.ownership.poll(rank, this.mesh.hasOwner());
    }
    this.mesh.checkSilence();
    this.endpoints.expireLapsed();
    this.probes.probeFailing();
    this.checkReady();
  }

  private applyOrder(order: Omit<OrderMessage, 'kind'>): void {
    const {id, bornAt, range, orderCount, cutsRequests} = order;
    this.endpoints.applyOrder(id, bornAt, range, orderCount);
    if (cutsRequests) this.paths.dropRidersOutside(id, range);
  }

  private checkStalls(): void {
    for (const path of this.paths.listStalled()) {
      this.metrics.count(Counter.Stalls);
      if (this.paths.isGivenUp(path)) this.paths.dropRiders(path);
      void this.probes.probePath(path, () => this.paths.dropRiders(path));
    }
  }

  private checkReady(): void {
    if (this.phase !== PeerPhase.Starting) return;
    if (this.knowledge.findConfiguration() === undefined) return;
    if (this.knowledge.topics[Topic.Endpoints].next === undefined) return;
    this.setPhase(PeerPhase.Ready);
    this.log.write(GatewayEvent.Ready, {});
    this.sendBeat();
  }

  private setPhase(phase: PeerPhase): void {
    this.phase = phase;
  }

  private sendBeat(): void {
    this.mesh.sendAll({
      kind: PeerMessageKind.Beat,
      phase: this.phase,
      isOwner: this.ownership.findToken() !== undefined,
      topics: this.peerHandler.listAges(),
      loads: this.paths
        .listOwnLoads()
        .map(([first, {streams, tokens}]) => [
          first,
          streams,
          Math.round(tokens),
        ]),
    });
  }

  /** The place of this VM in an order that all VMs compute alike. */
  private computeRank(): number {
    const names = this.mesh.listLive().map(({vm}) => vm);
    names.push(this.settings.vm);
    const sorted = sortByWeight('reader', names, name => name);
    return sorted.indexOf(this.settings.vm);
  }

  private countVms(): number {
    return this.mesh.listKnown().length + 1;
  }

  private listAddresses(): string[] {
    const {host, port} = this.settings.listen.callers;
    return listCallerAddresses(
      `${host}:${port}`,
      this.phase,
      this.mesh.listKnown(),
    );
  }

  /** Tells the store and the VMs listed there where this VM hears peers. */
  private publishAddress(): void {
    if (this.isPublished || this.isPublishing) return;
    if (this.phase === PeerPhase.Leaving) return;
    this.isPublishing = true;
    void this.publishOnce().finally(() => {
      this.isPublishing = false;
    });
  }

  private async publishOnce(): Promise<void> {
    const {store} = this.ports;
    const {peers} = this.settings.listen;
    this.metrics.count(Counter.StoreCalls);
    const newest = await store.readNewest(Topic.Vms);
    if (newest.isErr) return this.metrics.count(Counter.StoreFailures);
    for (const {key} of newest.value.records) this.mesh.addAddress(key);
    this.metrics.count(Counter.StoreCalls);
    const key = `${peers.host}:${peers.port}`;
    const value = Buffer.from(this.settings.vm);
    const added = await store.appendRecord(Topic.Vms, key, value);
    if (added.isErr) return this.metrics.count(Counter.StoreFailures);
    this.isPublished = true;
  }
}

function getMonotonic(): Instant {
  return performance.now();
}
