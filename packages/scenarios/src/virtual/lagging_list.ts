import type {Instant, ListedVm, VmId} from '@zinniaspindle/shared';
import {ListedState} from '@zinniaspindle/shared';

interface Version {
  readonly at: Instant;
  readonly vms: readonly ListedVm[];
}

/** A VM list whose readers see it as it was some time ago. */
export class LaggingList {
  private readonly versions: Version[] = [{at: 0, vms: []}];
  /** Whether reads fail. */
  down = false;

  constructor(private readonly lagMilliseconds: number) {}

  /** Adds a VM or changes it. */
  setVm(vm: ListedVm, now: Instant): void {
    const rest = this.getLatest().filter(listed => listed.id !== vm.id);
    this.versions.push({at: now, vms: [...rest, vm]});
  }

  /** Marks a listed VM as leaving, or as live again. */
  setLeaving(id: VmId, leaving: boolean, now: Instant): void {
    const state = leaving ? ListedState.Leaving : ListedState.Live;
    const vms = this.getLatest().map(vm =>
      vm.id === id ? {...vm, state} : vm,
    );
    this.versions.push({at: now, vms});
  }

  /** Removes a VM. */
  removeVm(id: VmId, now: Instant): void {
    const vms = this.getLatest().filter(vm => vm.id !== id);
    this.versions.push({at: now, vms});
  }

  /** Reads the list as it was; undefined while reads fail. */
  read(now: Instant): readonly ListedVm[] | undefined {
    if (this.down) return undefined;
    let seen: readonly ListedVm[] = [];
    for (const version of this.versions) {
      if (version.at > 0 && version.at + this.lagMilliseconds > now) break;
      seen = version.vms;
    }
    return seen;
  }

  private getLatest(): readonly ListedVm[] {
    return this.versions.at(-1)!.vms;
  }
}
