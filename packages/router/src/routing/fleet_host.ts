import {
  applyCacheEvent,
  applyDigestUses,
  applyLoadReport,
  chooseChain,
  computeChainSilentAt,
  createFleetView,
  createStageHealth,
  describeChain,
  dropPrefixes,
  findSilentStages,
  listFailingStages,
  listOwnUses,
  recordChainGap,
  recordChainToken,
  recordEnd,
  recordFirstToken,
  recordPrefixes,
  recordStageLost,
  recordStageSent,
  recordStageWorking,
  recordStart,
  removePeer,
  setFleetObjects,
  setLeaving,
} from '@zinniaspindle/decisions';
import type {
  ChainPlan,
  ChainQuery,
  EndpointUse,
  FleetView,
  PromptPrefix,
  ReportEndpoint,
  RequestState,
  RoutingError,
  StageLoad,
  VmDigest,
} from '@zinniaspindle/decisions';
import {
  charactersPerToken,
  countTextTokens,
  EngineRefusal,
  hashPrefixBlocks,
  prefixBlockCharacters,
  RoutingEvent,
} from '@zinniaspindle/shared';
import type {
  CacheEvent,
  DataCentreId,
  EndpointId,
  EndpointObject,
  Instant,
  LinkObject,
  LoadReport,
  LogEvent,
  Random,
  RequestId,
  StageTarget,
  VmId,
} from '@zinniaspindle/shared';
import type {Result} from 'true-myth';

/** Longest gap between tokens that the service level allows. */
export const tokenGapMilliseconds = 27;

/** What the fleet host needs from the rest of the VM. */
export interface FleetPorts {
  readonly dataCentre: DataCentreId;
  readonly getNow: () => Instant;
  readonly random: Random;
  readonly report: (logEvents: readonly LogEvent[]) => void;
}

/** Work of one attempt that the view still counts. */
interface OpenWork {
  readonly work: readonly StageLoad[];
  readonly chain: readonly EndpointId[];
  hadToken: boolean;
  /** Before the first token, when it is due. */
  lastTokenAt: Instant;
}

/** Hosts the view of all endpoints, and the choice of chains over it. */
export class FleetHost {
  readonly view: FleetView;
  private readonly health = createStageHealth();
  private readonly open = new Map<RequestId, OpenWork>();

  constructor(private readonly ports: FleetPorts) {
    this.view = createFleetView(ports.dataCentre);
  }

  /** Applies the configured endpoints and links. */
  setObjects(
    endpoints: Iterable<EndpointObject>,
    links: Iterable<LinkObject>,
  ): void {
    setFleetObjects(this.view, endpoints, links);
  }

  /** Applies a load report. */
  acceptLoad(report: LoadReport): void {
    applyLoadReport(this.view, report);
  }

  /** Applies what a peer has running. */
  acceptDigest(digest: VmDigest): void {
    applyDigestUses(this.view, digest);
  }

  /** Forgets what a lost peer had running. */
  removePeer(vm: VmId): void {
    removePeer(this.view, vm, this.ports.getNow());
  }

  /** Marks an endpoint as leaving, or as staying. */
  setLeaving(endpoint: EndpointId, leaving: boolean): void {
    setLeaving(this.view, endpoint, leaving);
  }

  /** Lists what this VM has running. */
  listUses(): EndpointUse[] {
    return listOwnUses(this.view);
  }

  /** Lists the endpoints that get no new work for a failure. */
  listFailing(): EndpointId[] {
    return listFailingStages(this.health, this.ports.getNow());
  }

  /** Applies one cache event. */
  acceptCacheEvent(endpoint: EndpointId, event: CacheEvent): void {
    applyCacheEvent(this.view, endpoint, event, this.ports.getNow());
  }

  /** Forgets what an endpoint has cached, after a gap in its events. */
  dropCache(endpoint: EndpointId): void {
    dropPrefixes(this.view, endpoint);
  }

  /** Records that an endpoint failed an attempt. */
  recordFailure(report: ReportEndpoint): void {
    const {endpoint, certainty, reason} = report;
    // An engine that is full is not broken; its next load report tells.
    if (reason === EngineRefusal.Overloaded) return;
    const {getNow, random} = this.ports;
    recordStageLost(
      ...([this.health, this.view, endpoint, certainty] as const),
      getNow(),
      random,
    );
  }

  /** Builds the question for a chain that runs what is left of a request. */
  buildQuery(
    state: RequestState,
    isAllowed: (endpoint: EndpointObject) => boolean,
  ): ChainQuery {
    const {spec, delivered: given, failedEndpoints: failed} = state;
    const {generation} = spec;
    return {
      model: spec.model,
      layerCount: spec.layerCount,
      isAllowed,
      promptTokens: countTextTokens(generation.prompt) + given.length,
      prefixes: listPrefixes(generation.prompt),
      tokensLeft: Math.max(1, generation.maxTokens - given.length),
      deadline: spec.deadline,
      targetGapMilliseconds: tokenGapMilliseconds,
      excluded: new Set(failed),
      dataCentre: this.ports.dataCentre,
      keep: [],
    };
  }

  /** Plans a chain by what is known now. */
  readonly planChain = (
    query: ChainQuery,
    now: Instant,
    random: Random,
  ): Result<ChainPlan, RoutingError> =>
    chooseChain(this.view, query, now, random);

  /** Counts the work of an attempt that begins, in place of the one before. */
  recordPlan(state: RequestState, plan: ChainPlan): void {
    const now = this.ports.getNow();
    const {id, generation} = state.spec;
    this.recordEnd(id);
    this.addWork(id, plan.stageLoads, plan.firstTokenAt);
    const hashes = hashPrefixBlocks(generation.prompt);
    for (const {endpoint} of plan.stages) {
      recordPrefixes(this.view, endpoint, hashes, now);
      recordStageSent(this.health, this.view, endpoint, now);
    }
    this.ports.report([describePlan(state, plan, now)]);
  }

  /** Counts the work of an attempt that goes on where another VM left it. */
  recordResumed(id: RequestId, chain: readonly StageTarget[]): void {
    const work = chain.map(({endpoint}) => ({endpoint, prefillTokens: 0}));
    this.recordEnd(id);
    this.addWork(id, work, this.ports.getNow());
  }

  /** Counts a token of an attempt. */
  recordToken(request: RequestId): void {
    const open = this.open.get(request);
    if (open === undefined) return;
    const now = this.ports.getNow();
    if (open.hadToken) {
      recordChainGap(this.health, open.chain, now - open.lastTokenAt);
    } else {
      open.hadToken = true;
      recordFirstToken(this.view, open.work);
      for (const endpoint of open.chain) {
        recordStageWorking(this.health, this.view, endpoint);
      }
    }
    open.lastTokenAt = now;
    recordChainToken(this.health, open.chain, now);
  }

  /** Finds the silent stages of a request; empty while it is not silent. */
  findSilent(request: RequestId, latenessMilliseconds: number): EndpointId[] {
    const open = this.open.get(request);
    if (open === undefined) return [];
    const {chain, lastTokenAt, hadToken} = open;
    const silentAt = computeChainSilentAt(
      ...([
        this.health,
        chain,
        lastTokenAt,
        hadToken,
        latenessMilliseconds,
      ] as const),
    );
    if (this.ports.getNow() < silentAt) return [];
    return findSilentStages(this.health, chain, lastTokenAt);
  }

  /** Ends the work of an attempt. */
  recordEnd(request: RequestId): void {
    const open = this.open.get(request);
    if (open === undefined) return;
    this.open.delete(request);
    const {work, hadToken} = open;
    recordEnd(this.view, work, hadToken, this.ports.getNow());
  }

  private addWork(
    id: RequestId,
    work: readonly StageLoad[],
    lastTokenAt: Instant,
  ): void {
    const now = this.ports.getNow();
    recordStart(this.view, work, now);
    const chain = work.map(({endpoint}) => endpoint);
    const since = Math.max(now, lastTokenAt);
    this.open.set(id, {work, chain, hadToken: false, lastTokenAt: since});
  }
}

function describePlan(
  state: RequestState,
  plan: ChainPlan,
  now: Instant,
): LogEvent {
  const {waitMilliseconds, cachedTokens, weighed} = plan.reason;
  const wait = Math.round(waitMilliseconds);
  const first = Math.round(plan.firstTokenAt - now);
  const reason = `first token in ${first} ms, wait ${wait} ms, ${cachedTokens} tokens cached, ${weighed} endpoints weighed`;
  const fields = {
    request: state.spec.id,
    attempt: state.attempt + 1,
    chain: describeChain(plan.stages),
    reason,
  };
  return {event: RoutingEvent.ChainChosen, fields};
}

function listPrefixes(prompt: string): PromptPrefix[] {
  const tokensPerBlock = prefixBlockCharacters / charactersPerToken;
  return hashPrefixBlocks(prompt).map((hash, index) => ({
    hash,
    tokens: (index + 1) * tokensPerBlock,
  }));
}
