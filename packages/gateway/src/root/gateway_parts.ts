import {
  createStoreAccess,
  defaultMemoryMegabytes,
  deriveIntakeLimits,
  deriveReadSchedule,
  type ReadSchedule,
  type StopPlan,
} from '@zinniaspindle/decisions';
import {formatAddress, type Instant} from '@zinniaspindle/shared';
import {DirectoryServer} from '../directory/directory_server.js';
import {canBeFirst} from '../fleet/endpoint_state.js';
import {EndCheck} from '../fleet/end_check.js';
import {EndpointTable} from '../fleet/endpoint_table.js';
import {LoadTracker} from '../fleet/load_tracker.js';
import {PathTable} from '../fleet/path_table.js';
import {WaiterTable} from '../fleet/waiter_table.js';
import {PromptTable} from '../fleet/prompt_table.js';
import {EndpointProber} from '../fleet/endpoint_prober.js';
import {SourceCheck} from '../fleet/source_check.js';
import {EraWatch} from '../following/era_watch.js';
import {StoreReplica} from '../following/store_replica.js';
import {TopicFollower} from '../following/topic_follower.js';
import {countPlaces, Intake} from '../intake/intake.js';
import type {EndpointLinks} from '../links/endpoint_links.js';
import type {KeptConnections} from '../links/kept_connections.js';
import {RelayServer} from '../links/relay_server.js';
import type {EventLog} from '../log/event_log.js';
import type {OrderRunner} from '../orders/order_runner.js';
import type {Ownership} from '../orders/ownership.js';
import type {QuarantineKeeper} from '../quarantine/quarantine_keeper.js';
import {Counter, Metrics} from '../log/metrics.js';
import {
  PeerPhase,
  makeLeavingMessage,
  makePausedMessage,
} from '../peers/messages.js';
import {PeerHandler} from '../peers/peer_handler.js';
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
import {PathQueue} from '../requests/path_queue.js';
import {RetryBudgets} from '../requests/retry_budgets.js';
import {AnswersByRoute} from '../requests/answers_by_route.js';
import {buildLimits} from './build_limits.js';
import {buildLinks} from './build_links.js';
import {buildListeners} from './build_listeners.js';
import {applyOrder, buildOrders} from './build_orders.js';
import {buildServers} from './build_servers.js';
import {describeOwn} from './describe_own.js';
import {buildQuarantine, type QuarantineParts} from './quarantine_parts.js';
import {computeRefusingShare, listCallerAddresses} from './list_addresses.js';

/** The adapters to the platform that a gateway needs. */
export interface GatewayPorts {
  readonly store: Store;
  readonly records: RecordCodec;
  readonly exchange: ExchangeCodec;
  readonly directory: DirectoryCodec;
  readonly endpoints: EndpointCalls;
}

/** Dependencies that all parts share. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly ports: GatewayPorts;
  readonly log: EventLog;
  readonly getNow: () => Instant;
  readonly getPhase: () => PeerPhase;
  /** The graceful stop that is under way, if any. */
  readonly findStopPlan: () => StopPlan | undefined;
  /** Rank of this VM among the live VMs. */
  readonly getRank: () => number;
  readonly schedule: ReadSchedule;
}

/** The state of the endpoints and of the paths through them. */
export interface FleetParts extends QuarantineParts {
  readonly metrics: Metrics;
  readonly endpoints: EndpointTable;
  readonly loads: LoadTracker;
  readonly paths: PathTable;
  readonly prober: EndpointProber;
  readonly links: EndpointLinks;
  readonly relays: RelayServer;
  /** The idle connections to endpoints; undefined if none are kept. */
  readonly kept: KeptConnections | undefined;
  readonly endCheck: EndCheck;
  readonly sourceCheck: SourceCheck;
}

/** The exchange of state with the store and with peers. */
export interface SyncParts {
  readonly eras: EraWatch;
  readonly storeReplica: StoreReplica;
  readonly followers: readonly TopicFollower[];
  readonly mesh: PeerMesh;
  readonly waiters: WaiterTable;
  readonly peerHandler: PeerHandler;
}

/** All parts of one entry VM. */
export interface GatewayParts extends FleetParts, SyncParts {
  readonly ownership: Ownership;
  readonly orders: OrderRunner;
  readonly keeper: QuarantineKeeper;
  readonly callers: CallerServer;
  readonly queue: PathQueue;
  readonly directory: DirectoryServer;
}

/**
 * Derives when VMs read the store: changes take effect, and leaving endpoints
 * get no requests, within the bounds of the settings.
 */
export function deriveSchedule({bounds}: GatewaySettings): ReadSchedule {
  const {applyMilliseconds, drainMilliseconds} = bounds;
  return deriveReadSchedule(Math.min(applyMilliseconds, drainMilliseconds));
}

/**
 * VMs that broadcast refutations, and suspicions after the first ones of an
 * endpoint. If all VMs did, the number of messages would grow with the square of
 * the number of VMs.
 */
const voterCount = 16;

function isVoter(rank: number): boolean {
  return rank < voterCount;
}

/** Builds the parts of an entry VM; nothing runs before Gateway.start. */
export function buildParts(context: GatewayContext): GatewayParts {
  // Parts refer to one another; they are only called once all are built.
  const getParts = () => parts;
  const fleet = buildFleet(context, getParts);
  const sync = buildSync(context, fleet, getParts);
  const orders = buildOrders(context, fleet, sync);
  const serving = buildServing(context, fleet, sync);
  const parts: GatewayParts = {...fleet, ...sync, ...orders, ...serving};
  return parts;
}

function buildFleet(
  {settings, ports, log, getNow, getRank}: GatewayContext,
  getParts: () => GatewayParts,
): FleetParts {
  const metrics = new Metrics();
  const endpoints = new EndpointTable(
    log.write,
    getNow,
    leaving => getParts().mesh.sendAll(makeLeavingMessage(leaving)),
    buildLimits(log, getNow, () => getParts().mesh),
  );
  const loads = new LoadTracker();
  const paths = new PathTable(
    endpoints,
    settings.dataCentre,
    loads,
    log.write,
    getNow,
    () => ({vms: getParts().mesh.countLive() + 1, rank: getRank()}),
    () => metrics.count(Counter.SlowPaths),
  );
  const countVms = () => getParts().mesh.countLive() + 1;
  const quarantine = buildQuarantine(
    {log, getNow},
    metrics,
    {
      countVms,
      countEndpoints: service =>
        endpoints.list(service).filter(canBeFirst).length,
      isVoter: () => isVoter(getRank()),
      hasOthers: () => countVms() > voterCount,
    },
    message => getParts().mesh.sendAll(message),
  );
  const listeners = buildListeners(
    {endpoints, paths, ends: quarantine.ends, writeEvent: log.write},
    () => getParts().mesh,
  );
  const calls = ports.endpoints;
  const {links, kept} = buildLinks(
    {settings, log, getNow},
    {endpoints, metrics},
    () => getParts().mesh,
  );
  const prober = new EndpointProber(
    endpoints,
    calls,
    listeners,
    metrics,
    () => isVoter(getRank()),
    countVms,
    getNow,
    log.write,
    links,
    kept,
  );
  const relays = new RelayServer(endpoints, links, metrics, log.write);
  return {
    ...{metrics, endpoints, loads, paths, prober, links, relays, kept},
    endCheck: new EndCheck(endpoints, calls, listeners, metrics, links),
    sourceCheck: new SourceCheck({calls, links, listeners, metrics, getNow}),
    ...quarantine,
  };
}

function buildSync(
  context: GatewayContext,
  fleet: FleetParts,
  getParts: () => GatewayParts,
): SyncParts {
  const {settings, ports, log, getNow, schedule} = context;
  const waiters = buildWaiters(getNow, fleet, getParts);
  const storeReplica = new StoreReplica(
    ports.records,
    fleet.endpoints,
    schedule,
    settings.bounds.drainMilliseconds,
    log.write,
    getNow,
    configuration => {
      waiters.applyConfiguration(configuration);
      getParts().callers.applyConfiguration(configuration);
    },
  );
  const eras = new EraWatch(log.write);
  const peerHandler = new PeerHandler(
    storeReplica,
    eras,
    fleet.endpoints,
    fleet.prober,
    fleet.partMessages,
    order => applyOrder(fleet, order),
    (peer, message) => getParts().mesh.sendTo(peer, message),
    message => getParts().mesh.sendAll(message),
    () => isVoter(context.getRank()),
    () => getParts().mesh.countLive(),
    getNow,
    Date.now,
  );
  const mesh = new PeerMesh(
    describeOwn(settings),
    fleet.loads,
    (peer, message) => peerHandler.handle(peer, message),
    log.write,
    getNow,
    (socket, request) => fleet.relays.accept(socket, request),
    waiters,
  );
  const access = createStoreAccess();
  const topics = [Topic.Configuration, Topic.Endpoints] as const;
  const followers = topics.map(
    topic =>
      new TopicFollower(
        storeReplica.topics[topic],
        ports.store,
        schedule,
        access,
        eras,
        {
          sendChanges: (from, changes, next, asOf) => {
            peerHandler.sendChanges(topic, from, changes, next, asOf);
          },
          // A VM that joins a running fleet has nothing new for its peers.
          sendSnapshot: () => {
            if (settings.isFirstStart) peerHandler.sendSnapshotToAll(topic);
          },
          sendReplacement: () => peerHandler.sendSnapshotToAll(topic),
          handleUpdate: () => storeReplica.checkOutage(),
        },
        log.write,
        fleet.metrics,
        getNow,
      ),
  );
  return {eras, storeReplica, followers, mesh, waiters, peerHandler};
}

function buildWaiters(
  getNow: () => Instant,
  {metrics}: FleetParts,
  getParts: () => GatewayParts,
): WaiterTable {
  const countPeers = () => getParts().mesh.listStaying().length;
  return new WaiterTable(getNow, countPeers, metrics);
}

function buildServing(
  {settings, ports, log, getNow, getPhase, findStopPlan}: GatewayContext,
  fleet: FleetParts,
  {mesh, waiters}: SyncParts,
): Pick<GatewayParts, 'callers' | 'directory' | 'queue'> {
  const {metrics, endpoints, ends, endCheck, sourceCheck, quarantine} = fleet;
  const {paths, prober, links, kept} = fleet;
  const countVms = () => mesh.listStaying().length + 1;
  const queue = new PathQueue(paths, quarantine, getNow, waiters);
  const {memoryMegabytes = defaultMemoryMegabytes} = settings;
  const intake = new Intake(deriveIntakeLimits(memoryMegabytes), () =>
    countPlaces(endpoints.list()),
  );
  const buildServer = buildServers({settings, log, getNow}, metrics);
  const callers = new CallerServer(
    {
      codec: ports.exchange,
      endpoints,
      ends,
      endCheck,
      sourceCheck,
      stallMilliseconds: settings.bounds.stallMilliseconds,
      quarantine,
      paths,
      prompts: new PromptTable(endpoints, fleet.loads, metrics, getNow),
      queue,
      waiters,
      prober,
      links,
      kept,
      sendPause: (vm, paused) => {
        const peer = mesh.listLive().find(one => one.vm === vm);
        if (peer !== undefined) mesh.sendTo(peer, makePausedMessage(paused));
      },
      intake,
      budgets: new RetryBudgets(settings.bounds, countVms),
      metrics,
      answersByRoute: new AnswersByRoute(),
      writeEvent: log.write,
      getNow,
      findStopPlan,
      computeRefusingShare: () => computeRefusingShare(mesh.listPresent()),
    },
    buildServer,
  );
  const own = {
    address: formatAddress(settings.listen.callers),
    cores: settings.cores,
  };
  const directory = new DirectoryServer(
    ports.directory,
    {
      listAddresses: () =>
        listCallerAddresses(own, getPhase(), mesh.listPresent(), Math.random),
      isReady: () => getPhase() === PeerPhase.Ready,
      renderMetrics: () => metrics.render(),
    },
    buildServer,
  );
  return {callers, directory, queue};
}
