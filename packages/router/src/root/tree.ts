import {ProcessEvent, toId} from '@zinniaspindle/shared';
import {Effect, Schedule} from 'effect';
import type {Scope} from 'effect';
import {buildActionRoutes} from '../callers/action_routes.js';
import {buildEntryRoutes} from '../callers/entry_routes.js';
import {buildRequestRoutes} from '../callers/request_routes.js';
import {pollEndpoints} from '../endpoints/endpoint_poller.js';
import type {HttpError} from '../http/errors.js';
import {serveHttp} from '../http/http_server.js';
import type {Route} from '../http/route_table.js';
import {buildOperatorRoutes} from '../operators/operator_routes.js';
import type {PeerError} from '@zinniaspindle/framing';
import {servePeers} from '../peers/peer_server.js';
import type {PlatformError} from '../platform/errors.js';
import {describeStatus} from './describe_status.js';
import {tickMilliseconds} from './entry_vm.js';
import type {EntryVm} from './entry_vm.js';
import {runChild} from './supervise.js';
import type {ChildListener} from './supervise.js';

const digestMilliseconds = 500;
const vmListMilliseconds = 1_000;
const loadMilliseconds = 250;
const cacheMilliseconds = 1_000;

/** Starts the supervisor tree of an entry VM in the present scope. */
export function runTree(
  vm: EntryVm,
  startDrain: () => void,
): Effect.Effect<void, never, Scope.Scope> {
  const listener: ChildListener = {
    report: vm.report,
    setUp: (name, isUp) => vm.setChildUp(name, isUp),
  };
  return Effect.gen(function* () {
    yield* runChild(makePlatformChild(vm), listener);
    yield* runChild(makeEndpointsChild(vm), listener);
    yield* runChild(makePeersChild(vm), listener);
    yield* runChild(makeCallersChild(vm, startDrain), listener);
  });
}

function makePlatformChild(vm: EntryVm) {
  const ticks = Effect.sync(() => vm.runTick()).pipe(
    Effect.repeat(Schedule.spaced(tickMilliseconds)),
  );
  const digests = Effect.sync(() => vm.selfReport.send()).pipe(
    Effect.repeat(Schedule.spaced(digestMilliseconds)),
  );
  const lists = Effect.promise(() => readVmList(vm)).pipe(
    Effect.repeat(Schedule.spaced(vmListMilliseconds)),
  );
  const run: Effect.Effect<void, PlatformError> = Effect.all(
    [ticks, digests, lists],
    {
      concurrency: 'unbounded',
    },
  ).pipe(Effect.asVoid);
  return {name: 'platform', start: Effect.void, run};
}

async function readVmList(vm: EntryVm): Promise<void> {
  const deadline = vm.options.getNow() + vmListMilliseconds;
  const list = await vm.platform.listVms(deadline);
  if (list.isOk) vm.membership.acceptList(list.value.vms);
  else vm.membership.acceptListFailure(list.error.message);
}

function makeEndpointsChild(vm: EntryVm) {
  const run: Effect.Effect<void, never> = pollEndpoints({
    client: vm.engines,
    listEndpoints: () => vm.queries.listEndpoints(),
    loadMilliseconds,
    cacheMilliseconds,
    handleLoad: report => vm.acceptLoad(report),
    handleLoadFailure: () => undefined,
    handleCacheEvent: (name, event) => vm.fleet.acceptCacheEvent(name, event),
    handleCacheGap: name => vm.fleet.dropCache(name),
    getNow: vm.options.getNow,
  });
  return {name: 'endpoints', start: Effect.void, run};
}

function makePeersChild(vm: EntryVm) {
  const start: Effect.Effect<void, PeerError, Scope.Scope> = servePeers({
    address: vm.options.settings.peers.listen,
    handleMessage: (from, envelope) => vm.acceptPeerMessage(from, envelope),
    handleBadPeer: (remote, error) => {
      const fields = {remote, detail: error.message};
      vm.report([{event: ProcessEvent.PeerRejected, fields}]);
    },
  }).pipe(Effect.asVoid);
  return {name: 'peers', start, run: Effect.never};
}

function makeCallersChild(vm: EntryVm, startDrain: () => void) {
  const {callers} = vm.options.settings;
  const start: Effect.Effect<void, HttpError, Scope.Scope> = serveHttp({
    address: callers.listen,
    maxHeaderBytes: callers.maxHeaderBytes,
    requestMilliseconds: callers.requestMilliseconds,
    routes: buildRoutes(vm, startDrain),
    calls: vm.calls,
    handleFailure: error => vm.reportFailure(error),
  }).pipe(Effect.asVoid);
  return {name: 'callers', start, run: Effect.never};
}

function buildRoutes(vm: EntryVm, startDrain: () => void): Route[] {
  const {settings, getNow} = vm.options;
  const {callers, operators} = settings;
  const shared = {
    findAccount: vm.queries.findAccount,
    checkReady: vm.checkReady,
    getNow,
    maxBodyBytes: callers.maxBodyBytes,
    deadlines: {
      defaultMilliseconds: callers.defaultDeadlineMilliseconds,
      maxMilliseconds: callers.maxDeadlineMilliseconds,
    },
  };
  return [
    ...buildEntryRoutes(near => vm.membership.fetchEntries(near)),
    ...buildRequestRoutes({
      ...shared,
      table: vm.requests,
      findPipeline: vm.queries.findPipeline,
      resumeRequest: async (id, account, held) =>
        vm.drain.isClosed
          ? undefined
          : vm.requestHost.resumeRequest(id, account, held),
      coalesceMilliseconds: callers.coalesceMilliseconds,
      reconnectMilliseconds: callers.reconnectMilliseconds,
    }),
    ...buildActionRoutes({
      ...shared,
      actions: vm.actions,
      findService: vm.queries.findService,
    }),
    ...buildOperatorRoutes({
      ...shared,
      configuration: vm.configuration,
      decisions: vm.decisions,
      bootstrapAccount: toId(operators.bootstrapAccount),
      bootstrapTokenDigest: operators.bootstrapTokenDigest,
      describeStatus: () => describeStatus(vm),
      startDrain,
    }),
  ];
}
