import {
  type ConfigObject,
  EndpointRole,
  ListedPurpose,
  ListedState,
  type ServiceName,
  toId,
  type VmId,
} from '@zinniaspindle/shared';
import {
  type AccountAccess,
  defaultFleetShape,
  type EndpointPlan,
  type FleetShape,
  listDataCentres,
  makeAccount,
  makeEndpointObject,
  makeLinkObjects,
  makePipelineObject,
  makeServiceObject,
  planEndpoints,
} from './fleet_objects.js';
import {sendJson} from './http/json_client.js';
import type {StandIn} from './http/json_server.js';
import {
  StandInKind,
  type StandInSetup,
  startStandIn,
} from './start_stand_in.js';

/** Starts a named stand-in, in this process or in one of its own. */
export type StartStandIn = (
  kind: StandInKind,
  setup: StandInSetup,
  name: string,
) => Promise<StandIn>;

/** How a fleet of stand-ins is set up; all have defaults. */
export interface FleetOptions {
  readonly shape?: FleetShape;
  /** Names of the client accounts that may call. */
  readonly callers?: readonly string[];
  readonly services?: readonly string[];
  /** Options of single kinds of stand-in, over their defaults. */
  readonly setups?: Partial<Readonly<Record<StandInKind, StandInSetup>>>;
  /** Starts each stand-in; in this process when absent. */
  readonly start?: StartStandIn;
}

/** A running stand-in with the name that scenarios use for it. */
export interface FleetMember<Member extends StandIn = StandIn> {
  readonly name: string;
  readonly kind: StandInKind;
  readonly standIn: Member;
}

/** A running fleet of stand-ins. */
export interface Fleet {
  readonly log: string;
  readonly vmList: string;
  readonly weightStore: string;
  /** Every stand-in: log, vmList, weightStore, e1 and on, services by name. */
  readonly members: readonly FleetMember[];
  readonly accounts: readonly AccountAccess[];
  /** What an operator publishes to put the fleet to use. */
  readonly objects: readonly ConfigObject[];
  stop(): Promise<void>;
}

/** Names of the client accounts unless others are given. */
export const defaultCallers: readonly string[] = ['lens-calls', 'practice'];

/** Name of the account that may publish. */
export const operatorName = 'operator';

/** Starts a log, a VM list, a weight store, engines and plain services. */
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
  const shape = options.shape ?? defaultFleetShape;
  const builder = new FleetBuilder(options);
  const log = await builder.add('log', StandInKind.Log, {});
  const vmList = await builder.add('vmList', StandInKind.VmList, {});
  const weightStore = await builder.add(
    'weightStore',
    StandInKind.WeightStore,
    {},
  );
  const objects: ConfigObject[] = [];
  objects.push(...(await startEngines(builder, shape, vmList, weightStore)));
  objects.push(makePipelineObject(shape));
  objects.push(...(await startServices(builder, options)));
  objects.push(...makeLinkObjects(listDataCentres(shape.dataCentres)));
  const accounts = [makeAccount(operatorName, true)];
  for (const name of options.callers ?? defaultCallers) {
    accounts.push(makeAccount(name, false));
  }
  for (const account of accounts) objects.push(account.object);
  const {members} = builder;
  const stop = () => builder.stop();
  return {log, vmList, weightStore, members, accounts, objects, stop};
}

class FleetBuilder {
  readonly members: FleetMember[] = [];

  constructor(private readonly options: FleetOptions) {}

  /** Starts a member and returns its address. */
  async add(
    name: string,
    kind: StandInKind,
    setup: StandInSetup,
  ): Promise<string> {
    const start: StartStandIn =
      this.options.start ?? ((kind, setup) => startStandIn(kind, setup));
    const own = this.options.setups?.[kind] ?? {};
    const standIn = await start(kind, {...setup, ...own}, name);
    this.members.push({name, kind, standIn});
    return standIn.address;
  }

  async stop(): Promise<void> {
    for (const {standIn} of this.members) await standIn.stop();
  }
}

async function startEngines(
  builder: FleetBuilder,
  shape: FleetShape,
  vmList: string,
  weightStore: string,
): Promise<ConfigObject[]> {
  const started: Promise<ConfigObject>[] = [];
  for (const plan of planEndpoints(shape)) {
    started.push(startEngine(builder, shape, plan, vmList, weightStore));
  }
  return Promise.all(started);
}

async function startEngine(
  builder: FleetBuilder,
  shape: FleetShape,
  plan: EndpointPlan,
  vmList: string,
  weightStore: string,
): Promise<ConfigObject> {
  const {endpoint, model, layers} = plan;
  const address = await builder.add(endpoint, StandInKind.Engine, {
    endpoint,
    models: [{name: model, layerCount: shape.layerCount}],
    held: {model, layers, role: EndpointRole.Mixed},
    rates: plan.kind.rates,
    checksFencing: plan.checksFencing,
    weightStore,
  });
  const add = {
    id: toId<VmId>(endpoint),
    purpose: ListedPurpose.Endpoint,
    state: ListedState.Live,
    dataCentre: plan.dataCentre,
    address,
  };
  await sendControl(vmList, {add});
  return makeEndpointObject(plan, address);
}

async function startServices(
  builder: FleetBuilder,
  options: FleetOptions,
): Promise<ConfigObject[]> {
  const objects: ConfigObject[] = [];
  const hasLookup =
    options.setups?.[StandInKind.Service]?.['hasLookup'] === true;
  for (const name of options.services ?? ['orders']) {
    const address = await builder.add(name, StandInKind.Service, {});
    objects.push(
      makeServiceObject(toId<ServiceName>(name), [address], hasLookup),
    );
  }
  return objects;
}

/** Sends a message to a stand-in's control path; returns its report. */
export async function sendControl(
  address: string,
  message: Readonly<Record<string, unknown>>,
): Promise<unknown> {
  const path = '/control';
  const call = {address, method: 'POST', path, body: message};
  const reply = await sendJson(call);
  if (reply.status === 200) return reply.body;
  throw new Error(`control of ${address}: ${JSON.stringify(reply.body)}`);
}
