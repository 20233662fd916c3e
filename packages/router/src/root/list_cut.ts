import {MembershipEvent} from '@zinniaspindle/shared';
import type {LogEvent} from '@zinniaspindle/shared';
import type {EntryVm} from './entry_vm.js';

/** Lists what the exit of a VM cuts off, an event each. */
export function listCut(vm: EntryVm): LogEvent[] {
  const events: LogEvent[] = [];
  for (const call of vm.calls.describe()) {
    events.push({event: MembershipEvent.CallCut, fields: {...call}});
  }
  for (const {state} of vm.requests.listUnattended()) {
    const {spec, delivered} = state;
    const fields = {request: spec.id, tokens: delivered.length};
    events.push({event: MembershipEvent.RequestCut, fields});
  }
  return events;
}
