import {type EngineSetup, startEngineStandIn} from './engine_stand_in.js';
import {makeBadRequest} from './errors.js';
import type {StandInHooks} from './hooks.js';
import type {StandIn} from './http/json_server.js';
import {defaultLogOptions, startLogStandIn} from './log_stand_in.js';
import {startServiceStandIn} from './service_stand_in.js';
import {defaultVmListOptions, startVmListStandIn} from './vm_list_stand_in.js';
import {
  defaultWeightStoreOptions,
  startWeightStoreStandIn,
} from './weight_store_stand_in.js';

/** The kinds of stand-in. */
export enum StandInKind {
  Engine = 'engine',
  Log = 'log',
  Service = 'service',
  VmList = 'vmList',
  WeightStore = 'weightStore',
}

/** Options of a stand-in of any kind, as they come from a command line. */
export type StandInSetup = Readonly<Record<string, unknown>>;

/** Starts a stand-in of a kind; absent options have their defaults. */
export async function startStandIn(
  kind: StandInKind,
  setup: StandInSetup,
  hooks: StandInHooks = {},
): Promise<StandIn> {
  switch (kind) {
    case StandInKind.Engine:
      return startEngineStandIn(setup as unknown as EngineSetup, hooks);
    case StandInKind.Log:
      return startLogStandIn({...defaultLogOptions, ...setup});
    case StandInKind.Service:
      return startServiceStandIn({hasLookup: false, ...setup}, hooks);
    case StandInKind.VmList:
      return startVmListStandIn({...defaultVmListOptions, ...setup});
    case StandInKind.WeightStore:
      return startWeightStoreStandIn({...defaultWeightStoreOptions, ...setup});
    default: {
      const known = Object.values(StandInKind).join(', ');
      throw makeBadRequest(
        `no stand-in of kind "${String(kind)}"; expected ${known}`,
      );
    }
  }
}
