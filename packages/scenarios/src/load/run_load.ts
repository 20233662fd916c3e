import {toId, type EndpointId, type Instant} from '@zinniaspindle/shared';
import {
  buildLinkTable,
  computeModelBound,
  leastReportedLoadPolicy,
  makeRandomPolicy,
  makeRoundRobinPolicy,
  pickAdmissionPolicy,
  predictedTimePolicy,
  type ChainPolicy,
  type Objective,
} from '@zinniaspindle/decisions';
import {makeSeededRandom} from '../virtual/seeded_random.js';
import {VirtualClock} from '../virtual/virtual_clock.js';
import {EngineModel} from './engine_model.js';
import {EntryModel} from './entry_model.js';
import {
  buildAccounts,
  buildEndpoints,
  buildLinks,
  dataCentres,
  loadModels,
  type LoadModel,
} from './fleet.js';
import {Measures} from './measures.js';
import {
  makeLoadRequest,
  meanTokens,
  prefillTokensPerToken,
} from './workload.js';

/** The ways of choosing chains that a run can compare. */
export enum PolicyName {
  LeastReported = 'leastReported',
  Predicted = 'predicted',
  Random = 'random',
  RoundRobin = 'roundRobin',
}

/** What goes wrong in a run. */
export enum FaultName {
  DataCentreLost = 'dataCentreLost',
  None = 'none',
  StageKilled = 'stageKilled',
}

/** One load run. */
export interface LoadOptions {
  readonly policy: PolicyName;
  readonly objective: Objective;
  readonly seed: number;
  /** Offered load over the bound. */
  readonly load: number;
  readonly fault: FaultName;
  readonly warmUpMilliseconds: number;
  readonly measuredMilliseconds: number;
  /** Requests that are still under way get this long to end. */
  readonly drainMilliseconds: number;
}

/** What a load run gave. */
export interface LoadRun {
  readonly measures: Measures;
  /** Tokens a second. */
  readonly bound: number;
  /** The bound without what the fault took. */
  readonly boundAfter: number;
  readonly offeredTokensPerSecond: number;
  readonly faultAt: Instant;
}

const entryCount = 14;
const tickMilliseconds = 10;
const silenceMilliseconds = 50;
const reportMilliseconds = 250;
const reportLagMilliseconds = 300;
const digestMilliseconds = 250;
const digestDelayMilliseconds = 5;
const deathHeardMilliseconds = 1500;
const tokenGapMilliseconds = 27;
const boundOptions = {tokenGapMilliseconds, prefillTokensPerToken};

/** Runs one load in virtual time. */
export function runLoad(options: LoadOptions): LoadRun {
  const world = createWorld(options);
  startArrivals(world);
  startTimers(world);
  const {clock} = world;
  clock.runAt(world.faultAt, () => applyFault(world));
  clock.runUntil(world.end + options.drainMilliseconds);
  const lost = world.measures.lostEndpoints;
  return {
    measures: world.measures,
    bound: computeBound(new Set()),
    boundAfter: computeBound(lost),
    offeredTokensPerSecond: options.load * computeBound(new Set()),
    faultAt: world.faultAt,
  };
}

/** Computes the bound of all models, without some endpoints. */
export function computeBound(lost: ReadonlySet<EndpointId>): number {
  let total = 0;
  for (const model of loadModels) total += computeOneBound(model, lost);
  return total;
}

function computeOneBound(
  model: LoadModel,
  lost: ReadonlySet<EndpointId>,
): number {
  const left = buildEndpoints().filter(endpoint => !lost.has(endpoint.name));
  const {name, layerCount} = model;
  return computeModelBound(left, name, layerCount, boundOptions)
    .tokensPerSecond;
}

interface World {
  readonly options: LoadOptions;
  readonly clock: VirtualClock;
  readonly engines: EngineModel;
  readonly entries: EntryModel[];
  readonly measures: Measures;
  readonly faultAt: Instant;
  readonly end: Instant;
}

function createWorld(options: LoadOptions): World {
  const clock = new VirtualClock();
  const endpoints = buildEndpoints();
  const links = buildLinks();
  const ids = dataCentres.map(name => toId<EndpointCentre>(name));
  const engines = new EngineModel(clock, endpoints, buildLinkTable(ids, links));
  const end = options.warmUpMilliseconds + options.measuredMilliseconds;
  const measures = new Measures(options.warmUpMilliseconds, end);
  const accounts = buildAccounts();
  const entries: EntryModel[] = [];
  for (let i = 0; i < entryCount; i += 1) {
    const random = makeSeededRandom(options.seed * 1000 + i + 1);
    const roundRobin = makeRoundRobinPolicy();
    const isRoundRobin = options.policy === PolicyName.RoundRobin;
    const entry = new EntryModel({
      vm: toId(`vm${i}`),
      dataCentre: ids[i % ids.length]!,
      clock,
      engines,
      measures,
      random,
      chainPolicy: isRoundRobin ? roundRobin : pickPolicy(options, random),
      recordUse: roundRobin.recordUse,
      admissionPolicy: pickAdmissionPolicy(options.objective),
      endpoints,
      links,
      accounts,
    });
    entries.push(entry);
  }
  const faultAt = options.warmUpMilliseconds + options.measuredMilliseconds / 3;
  return {options, clock, engines, entries, measures, faultAt, end};
}

type EndpointCentre = ReturnType<typeof buildEndpoints>[number]['dataCentre'];

function pickPolicy(options: LoadOptions, random: () => number): ChainPolicy {
  switch (options.policy) {
    case PolicyName.LeastReported:
      return leastReportedLoadPolicy;
    case PolicyName.Random:
      return makeRandomPolicy(random);
    case PolicyName.RoundRobin:
      return makeRoundRobinPolicy();
    case PolicyName.Predicted:
      return predictedTimePolicy;
  }
}

function startArrivals(world: World): void {
  const {options, clock} = world;
  for (const [index, model] of loadModels.entries()) {
    const tokens = options.load * computeOneBound(model, new Set());
    const meanGap = (1000 * meanTokens) / tokens;
    const random = makeSeededRandom(options.seed * 1000 + 900 + index);
    let sequence = 0;
    const sendNext = () => {
      if (clock.now >= world.end) return;
      sequence += 1;
      const id = sequence * loadModels.length + index;
      const request = makeLoadRequest(id, model, clock.now, random);
      const alive = world.entries.filter(entry => entry.isAlive);
      alive[Math.floor(random() * alive.length)]!.accept(request);
      clock.runAfter(-Math.log(1 - random()) * meanGap, sendNext);
    };
    clock.runAfter(-Math.log(1 - random()) * meanGap, sendNext);
  }
}

function startTimers(world: World): void {
  const {entries, engines} = world;
  runEvery(world, reportMilliseconds, () => {
    const reports = engines.readReports();
    world.clock.runAfter(reportLagMilliseconds, () => {
      for (const entry of entries) entry.applyReports(reports);
    });
  });
  for (const [index, entry] of entries.entries()) {
    const offset = (index * digestMilliseconds) / entries.length;
    world.clock.runAfter(offset, () =>
      runEvery(world, digestMilliseconds, () => sendDigest(world, entry)),
    );
    world.clock.runAfter((index * tickMilliseconds) / entries.length, () =>
      runEvery(world, tickMilliseconds, () => {
        if (entry.isAlive) entry.runTick();
      }),
    );
    runEvery(world, silenceMilliseconds, () => {
      if (entry.isAlive) entry.checkSilence();
    });
  }
}

function sendDigest(world: World, from: EntryModel): void {
  if (!from.isAlive) return;
  const digest = from.makeDigest();
  world.clock.runAfter(digestDelayMilliseconds, () => {
    for (const entry of world.entries) {
      if (entry !== from && entry.isAlive) entry.applyDigest(digest);
    }
  });
}

function runEvery(world: World, milliseconds: number, run: () => void): void {
  const {clock} = world;
  const until = world.end + world.options.drainMilliseconds;
  const runNext = () => {
    run();
    if (clock.now < until) clock.runAfter(milliseconds, runNext);
  };
  runNext();
}

function applyFault(world: World): void {
  switch (world.options.fault) {
    case FaultName.None:
      return;
    case FaultName.StageKilled:
      stopEndpoints(world, [buildEndpoints()[0]!.name], false);
      return;
    case FaultName.DataCentreLost:
      stopDataCentre(world, dataCentres[1]);
  }
}

function stopEndpoints(
  world: World,
  names: readonly EndpointId[],
  isSilent: boolean,
): void {
  for (const name of names) world.measures.lostEndpoints.add(name);
  for (const name of names) world.engines.stopEngine(name, isSilent);
}

function stopDataCentre(world: World, dataCentre: string): void {
  const names: EndpointId[] = [];
  for (const endpoint of buildEndpoints()) {
    if (endpoint.dataCentre === dataCentre) names.push(endpoint.name);
  }
  stopEndpoints(world, names, true);
  for (const entry of world.entries) {
    if (entry.view.dataCentre !== dataCentre) continue;
    entry.stop();
    const {vm} = entry.makeDigest();
    world.clock.runAfter(deathHeardMilliseconds, () => {
      for (const other of world.entries) {
        if (other.isAlive) other.removePeer(vm);
      }
    });
  }
}
