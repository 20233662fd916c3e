import http from 'node:http';
import {
  defaultJournalOptions,
  findService,
  isCaughtUp,
  JournalEventKind,
  LeavingSource,
  listObjects,
} from '@zinniaspindle/decisions';
import type {
  HolderPeer,
  PeerMessage,
  RecordMessage,
  UnreadyReason,
  WriterId,
} from '@zinniaspindle/decisions';
import {
  describeError,
  ObjectKind,
  ProcessEvent,
  toId,
} from '@zinniaspindle/shared';
import type {
  AccountObject,
  DataCentreId,
  Instant,
  LinkObject,
  LoadReport,
  LogEvent,
  Random,
  VmId,
} from '@zinniaspindle/shared';
import {ActionHost} from '../actions/action_host.js';
import {makeServiceClient} from '../actions/service_client.js';
import {CallerError, CallerErrorCode} from '../callers/errors.js';
import {ConfigurationHost} from '../configuration/configuration_host.js';
import {ConfigurationQueries} from '../configuration/configuration_queries.js';
import {StateExchange} from '../configuration/state_exchange.js';
import type {StateMessage} from '../configuration/state_exchange.js';
import {makeEngineClient} from '../endpoints/engine_client.js';
import type {EngineClient} from '../endpoints/engine_client.js';
import {OpenCalls} from '../http/open_calls.js';
import {JournalHost} from '../journal/journal_host.js';
import type {AppendRecord, JournalMessage} from '../journal/journal_host.js';
import {DecisionRecord} from '../logging/decision_record.js';
import type {EventLog} from '../logging/event_log.js';
import {EventLoop} from '../loop/event_loop.js';
import type {LoopPorts} from '../loop/loop_ports.js';
import {Metric} from '../metrics/metrics.js';
import type {Metrics} from '../metrics/metrics.js';
import {PeerArea} from '../peers/messages.js';
import type {PeerEnvelope} from '../peers/messages.js';
import type {DrainHost} from '../membership/drain_host.js';
import {MembershipHost} from '../membership/membership_host.js';
import {PeerLinks} from '../peers/peer_links.js';
import {PlacementHost} from '../placement/placement_host.js';
import {makePlatformClient} from '../platform/platform_client.js';
import type {PlatformClient} from '../platform/platform_client.js';
import {RecordHost} from '../requests/record_host.js';
import {RequestHost} from '../requests/request_host.js';
import type {RequestTable} from '../requests/request_table.js';
import {FleetHost} from '../routing/fleet_host.js';
import type {Settings} from '../settings/read_settings.js';
import {makeDrain} from './make_drain.js';
import {SelfReport} from './self_report.js';

/** Decisions kept for `explain`. */
const maxKeptDecisions = 20_000;

/** Milliseconds after which a caller may come back to a VM that is not ready. */
const retryMilliseconds = 1_000;

/** Milliseconds between two ticks. */
export const tickMilliseconds = 100;

/** What an entry VM is built from. */
export interface EntryVmOptions {
  readonly settings: Settings;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly getNow: () => Instant;
  /** Ends the process; `cut` requests are cut off. */
  readonly exit: (cut: number) => void;
}

/** Everything one entry VM hosts, wired together; one event loop runs it. */
export class EntryVm {
  readonly decisions = new DecisionRecord(maxKeptDecisions);
  readonly selfReport = new SelfReport(this);
  readonly calls: OpenCalls;
  readonly links: PeerLinks;
  readonly platform: PlatformClient;
  readonly engines: EngineClient;
  readonly journal: JournalHost;
  readonly configuration: ConfigurationHost;
  readonly queries: ConfigurationQueries;
  readonly actions: ActionHost;
  readonly fleet: FleetHost;
  readonly requests: RequestTable;
  readonly requestHost: RequestHost;
  readonly records: RecordHost;
  readonly placement: PlacementHost;
  readonly membership: MembershipHost;
  readonly drain: DrainHost;
  private readonly exchange: StateExchange;
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;

  private readonly loop = new EventLoop(error => this.reportFailure(error));
  private readonly agent = new http.Agent({keepAlive: true, noDelay: true});
  private unready: UnreadyReason | undefined;
  private isFresh = false;
  private nextTickAt: Instant = Infinity;
  private readonly down = new Set<string>();

  constructor(readonly options: EntryVmOptions) {
    const {settings} = options;
    this.vm = toId(settings.vm.id);
    this.dataCentre = toId(settings.vm.dataCentre);
    const writer = toId<WriterId>(`${this.vm}@${options.getNow()}`);
    this.calls = new OpenCalls(options.getNow);
    this.links = new PeerLinks(this.vm);
    this.platform = makePlatformClient(settings.platform);
    this.engines = makeEngineClient(this.agent);
    this.journal = this.makeJournal(writer);
    this.configuration = this.makeConfiguration(writer);
    this.queries = new ConfigurationQueries(this.configuration);
    this.actions = this.makeActions(writer);
    this.fleet = new FleetHost({
      ...this.makeLoopPorts(),
      dataCentre: this.dataCentre,
    });
    this.records = new RecordHost({
      ...this.makeLoopPorts(),
      self: {vm: this.vm, dataCentre: this.dataCentre},
      sendToPeer: (peer, body) => this.sendToPeer(peer, PeerArea.Records, body),
      handleLost: (request, attempt) =>
        this.requestHost.removeLost(request, attempt),
    });
    this.requestHost = new RequestHost({
      vm: this.vm,
      records: this.records,
      objective: settings.policy.objective,
      maxInFlight: settings.policy.maxInFlight,
      reportLeaving: endpoint => {
        const source = LeavingSource.Engine;
        const now = options.getNow();
        this.membership.reportEndpoint(endpoint, true, source, now);
      },
      ...this.makeLoopPorts(),
      engines: this.engines,
      fleet: this.fleet,
      metrics: options.metrics,
      getConfiguration: () => this.configuration.state,
      reconnectMilliseconds: settings.callers.reconnectMilliseconds,
    });
    this.requests = this.requestHost.table;
    this.placement = new PlacementHost({
      ...this.makeLoopPorts(),
      ...{vm: this.vm, writer, client: this.engines},
      retentionMilliseconds: settings.platform.retentionMilliseconds,
      appendRecord: this.appendRecord,
    });
    this.membership = this.makeMembership();
    this.drain = makeDrain(this, this.makeLoopPorts());
    this.exchange = new StateExchange({
      ...this.makeLoopPorts(),
      configuration: this.configuration,
      actions: this.actions,
      getPosition: () => this.journal.state.position,
      sendToPeer: (peer, body) =>
        this.sendToPeer(peer, PeerArea.Configuration, body),
    });
  }

  /** Logs events and keeps them for `explain`. */
  readonly report = (logEvents: readonly LogEvent[]): void => {
    const {log, metrics, getNow} = this.options;
    const now = getNow();
    for (const logEvent of logEvents) {
      log.logInfo(logEvent);
      this.decisions.add(logEvent, now);
    }
    metrics.count(Metric.EventsLogged, logEvents.length);
  };

  /** Appends a record to the log. */
  private readonly appendRecord: AppendRecord = (body, giveUpAt, listener) =>
    this.journal.appendRecord(body, giveUpAt, listener);

  /** Tells whether a child of the supervisor tree is up. */
  setChildUp(name: string, isUp: boolean): void {
    if (isUp) this.down.delete(name);
    else this.down.add(name);
  }

  /** Why this VM takes no new work; undefined while it does. */
  describeUnready(): string | undefined {
    if (this.drain.isClosed) return 'stopping';
    if (!this.isFresh) return `configuration is ${this.unready ?? 'starting'}`;
    if (!this.membership.isSettled) return 'peers are not known yet';
    const [child] = this.down;
    return child === undefined ? undefined : `child ${child} is down`;
  }

  /** Throws a CallerError when this VM takes no new work. */
  readonly checkReady = (): void => {
    const reason = this.describeUnready();
    if (reason === undefined) return;
    throw new CallerError(
      CallerErrorCode.NotReady,
      `entry VM "${this.vm}" takes no new work: ${reason}`,
      undefined,
      undefined,
      this.options.getNow() + retryMilliseconds,
    );
  };

  /** Passes time to every decision. */
  runTick(): void {
    this.journal.send({kind: JournalEventKind.Tick});
    this.configuration.runTick();
    this.exchange.runTick();
    this.actions.runTick();
    this.placement.runTick();
    this.membership.runTick();
    this.records.runTick();
    this.requestHost.runTick(this.takeLateness());
    this.drain.runTick();
  }

  /** Milliseconds by which the present tick is later than it was due. */
  private takeLateness(): number {
    const now = this.options.getNow();
    const lateness = Math.max(0, now - this.nextTickAt);
    this.nextTickAt = now + tickMilliseconds;
    return lateness;
  }

  /** Takes a message of another entry VM. */
  acceptPeerMessage(from: VmId, envelope: PeerEnvelope): void {
    this.configuration.recordHeard();
    switch (envelope.area) {
      case PeerArea.Journal:
        this.journal.acceptMessage(from, envelope.body as JournalMessage);
        return;
      case PeerArea.Configuration:
        this.exchange.acceptMessage(from, envelope.body as StateMessage);
        return;
      case PeerArea.Membership:
        this.membership.acceptMessage(from, envelope.body as PeerMessage);
        return;
      case PeerArea.Records:
        this.records.acceptMessage(envelope.body as RecordMessage);
        return;
    }
  }

  /** Takes an endpoint's load report, which also tells whether it leaves. */
  acceptLoad(load: LoadReport): void {
    this.fleet.acceptLoad(load);
    const {endpoint, leaving, time} = load;
    const source = LeavingSource.Engine;
    this.membership.reportEndpoint(endpoint, leaving, source, time);
  }

  /** Releases sockets. */
  close(): void {
    this.links.close();
    this.agent.destroy();
    this.options.metrics.close();
  }

  private makeLoopPorts(): LoopPorts {
    const {random, getNow} = this.options;
    return {loop: this.loop, random, getNow, report: this.report};
  }

  private makeJournal(writer: WriterId): JournalHost {
    const {vm, dataCentre} = this;
    return new JournalHost({
      ...this.makeLoopPorts(),
      platform: this.platform,
      options: {...defaultJournalOptions, vm, dataCentre, writer},
      sendToPeer: (peer, body) => this.sendToPeer(peer, PeerArea.Journal, body),
      deliverRecord: record => {
        this.configuration.acceptRecord(record);
        this.actions.acceptRecord(record);
        this.placement.acceptRecord(record);
      },
      handleGap: (from, oldest) => {
        // Leases and claims in the gap are not known: both begin anew.
        this.actions.setReady(false);
        this.placement.setReady(false);
        this.configuration.acceptGap(from, oldest);
      },
      handleRead: () => {
        this.configuration.recordHeard();
        if (!isCaughtUp(this.journal.state)) return;
        this.actions.setReady(true);
        this.placement.setReady(true);
      },
      requestState: () => this.exchange.askPeer(),
    });
  }

  private makeConfiguration(writer: WriterId): ConfigurationHost {
    const {platform, operators} = this.options.settings;
    return new ConfigurationHost({
      ...this.makeLoopPorts(),
      writer,
      bootstrapOperator: toId(operators.bootstrapAccount),
      retentionMilliseconds: platform.retentionMilliseconds,
      getJournal: () => this.journal.state,
      appendRecord: this.appendRecord,
      advanceJournal: ({covers, writers}) => {
        const kind = JournalEventKind.Advance;
        this.journal.send({kind, to: covers, writers});
      },
      handleObjectsChanged: () => this.updateFleet(),
      handleReadiness: change => {
        this.isFresh = change.ready;
        this.unready = change.reason;
      },
    });
  }

  private makeActions(writer: WriterId): ActionHost {
    const {retentionMilliseconds} = this.options.settings.platform;
    return new ActionHost({
      ...this.makeLoopPorts(),
      ...{writer, retentionMilliseconds},
      client: makeServiceClient(),
      metrics: this.options.metrics,
      findService: name => findService(this.configuration.state, name),
      appendRecord: this.appendRecord,
    });
  }

  private updateFleet(): void {
    const {state} = this.configuration;
    const links = listObjects(state, ObjectKind.Link);
    const accounts = listObjects(state, ObjectKind.Account);
    this.requestHost.admission.setAccounts(
      accounts.map(({object}) => object as AccountObject),
    );
    const endpoints = this.queries.listEndpoints();
    this.placement.setObjects(endpoints);
    this.fleet.setObjects(
      endpoints,
      links.map(({object}) => object as LinkObject),
    );
  }

  private makeMembership(): MembershipHost {
    const {callers, peers} = this.options.settings;
    return new MembershipHost({
      ...this.makeLoopPorts(),
      identity: {
        vm: this.vm,
        startedAt: this.options.getNow(),
        peerAddress: peers.listen,
        address: callers.listen,
        dataCentre: this.dataCentre,
      },
      answerTtlMilliseconds: callers.entryLifetimeMilliseconds,
      sendMessage: (address, body) =>
        this.links.send(address, {area: PeerArea.Membership, body}),
      handleDigest: digest => {
        this.fleet.acceptDigest(digest);
        this.requestHost.admission.acceptDigest(digest);
      },
      handleEndpoint: (name, leaving) => this.fleet.setLeaving(name, leaving),
      handlePeers: lost => this.updatePeers(lost),
      handleSuperseded: () => this.drain.startStop(this.options.getNow()),
    });
  }

  private updatePeers(lost: VmId | undefined): void {
    if (lost !== undefined) {
      this.fleet.removePeer(lost);
      this.requestHost.admission.removePeer(lost);
    }
    const {membership} = this;
    const peers = membership.listPeers().map(toHolder);
    this.journal.send({kind: JournalEventKind.PeersChanged, peers});
    const staying = membership.listStaying().map(toHolder);
    this.records.setPeers(staying);
    this.exchange.setPeers(peers.map(({vm}) => vm));
    this.placement.setPeers(staying.map(({vm}) => vm));
  }

  private sendToPeer(vm: VmId, area: PeerArea, body: unknown): void {
    const peer = this.membership.findPeer(vm);
    if (peer !== undefined) this.links.send(peer.peerAddress, {area, body});
  }

  /** Logs an error that nothing else handles. */
  reportFailure(error: unknown): void {
    const fields = {detail: describeError(error)};
    this.options.log.logError({event: ProcessEvent.TaskFailed, fields});
  }
}

function toHolder({vm, dataCentre}: HolderPeer): HolderPeer {
  return {vm, dataCentre};
}
