import type {LoopPorts} from '../loop/loop_ports.js';
import {DrainHost} from '../membership/drain_host.js';
import {answerRest} from './answer_rest.js';
import type {EntryVm} from './entry_vm.js';
import {listCut} from './list_cut.js';

/** Makes the host of a VM's planned stop. */
export function makeDrain(vm: EntryVm, ports: LoopPorts): DrainHost {
  const {settings, exit} = vm.options;
  return new DrainHost({
    ...ports,
    answerTtlMilliseconds: settings.callers.entryLifetimeMilliseconds,
    announceLeaving: () => {
      vm.calls.startClosing();
      vm.membership.sendLeaving();
      vm.selfReport.send();
    },
    releaseLeases: () => vm.placement.releaseAll(),
    closeListeners: () => undefined,
    handOver: () => vm.requestHost.releaseAll(),
    answerRest: () => answerRest(vm, ports.loop),
    countInFlight: () => vm.calls.count() + vm.requests.listUnattended().length,
    exit: cut => {
      vm.report(listCut(vm));
      exit(cut);
    },
  });
}
