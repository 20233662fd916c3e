import type {DataCentreId, VmId} from '@zinniaspindle/shared';
import type {EntryVm} from './entry_vm.js';

/** What an entry VM tells of itself. */
export interface VmStatus {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Why the VM takes no new work; absent when it does. */
  readonly reason?: string;
  /** Next log offset that the VM will fold. */
  readonly nextOffset: number;
  readonly objects: number;
  readonly peers: readonly VmId[];
  readonly requestsInFlight: number;
  readonly actionsWaiting: number;
  readonly takesActions: boolean;
}

/** Describes the state of an entry VM. */
export function describeStatus(vm: EntryVm): VmStatus {
  const reason = vm.describeUnready();
  return {
    vm: vm.vm,
    dataCentre: vm.dataCentre,
    ready: reason === undefined,
    leaving: vm.drain.isLeaving,
    ...(reason === undefined ? {} : {reason}),
    nextOffset: vm.journal.state.position,
    objects: vm.configuration.state.objects.size,
    peers: vm.membership.listPeers().map(peer => peer.vm),
    requestsInFlight: vm.requests.countInFlight(),
    actionsWaiting: vm.actions.countWaiting(),
    takesActions: vm.actions.isReady,
  };
}
