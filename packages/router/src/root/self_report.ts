import type {VmDigest} from '@zinniaspindle/decisions';
import {ProcessEvent} from '@zinniaspindle/shared';
import {Metric} from '../metrics/metrics.js';
import type {EntryVm} from './entry_vm.js';

/** Tells peers, the directory, the log and metrics how an entry VM fares. */
export class SelfReport {
  private wasReady = false;

  constructor(private readonly vm: EntryVm) {}

  /** Sends the present state. */
  send(): void {
    const {vm} = this;
    const digest = makeDigest(vm);
    this.reportReadiness(digest.ready);
    vm.membership.sendDigest(digest);
    const {metrics} = vm.options;
    metrics.set(Metric.RequestsInFlight, vm.requests.countInFlight());
    metrics.count(Metric.PeerBytes, vm.links.takeSentBytes());
  }

  private reportReadiness(ready: boolean): void {
    if (ready === this.wasReady) return;
    this.wasReady = ready;
    const reason = this.vm.describeUnready() ?? '';
    const event = ready ? ProcessEvent.Ready : ProcessEvent.NotReady;
    this.vm.report([{event, fields: ready ? {} : {reason}}]);
  }
}

/** Makes what an entry VM tells its peers and its directory of itself. */
function makeDigest(vm: EntryVm): VmDigest {
  const {settings, getNow} = vm.options;
  const inFlight = vm.requests.countInFlight();
  return {
    vm: vm.vm,
    time: getNow(),
    ready: vm.describeUnready() === undefined,
    leaving: vm.drain.isLeaving,
    load: Math.min(1, inFlight / settings.policy.maxInFlight),
    nextOffset: vm.journal.state.position,
    demands: vm.requestHost.admission.listDemands(),
    uses: vm.fleet.listUses(),
    leavingEndpoints: vm.membership.listLeaving(),
    failingEndpoints: vm.fleet.listFailing(),
  };
}
