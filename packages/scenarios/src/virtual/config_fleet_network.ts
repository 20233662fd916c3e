import type {VmId} from '@zinniaspindle/shared';

/** Which VMs reach the log and each other. */
export class FleetNetwork {
  private readonly cutFromLog = new Map<VmId, number>();
  private readonly isolated = new Map<VmId, number>();
  private readonly partitions = new Set<(vm: VmId) => boolean>();

  /** Cuts a VM from the log until the returned function is called. */
  dropLogLink(vm: VmId): () => void {
    return addCount(this.cutFromLog, vm);
  }

  /** Cuts a VM from the log and all peers until the function is called. */
  dropLinks(vm: VmId): () => void {
    return addCount(this.isolated, vm);
  }

  /** Cuts the VMs on either side of a line from each other. */
  dropBetween(isOnOneSide: (vm: VmId) => boolean): () => void {
    this.partitions.add(isOnOneSide);
    return () => {
      this.partitions.delete(isOnOneSide);
    };
  }

  /** Tells whether a VM reaches the log. */
  canReachLog(vm: VmId): boolean {
    return !this.cutFromLog.has(vm) && !this.isolated.has(vm);
  }

  /** Tells whether two VMs reach each other. */
  canReach(a: VmId, b: VmId): boolean {
    if (this.isolated.has(a) || this.isolated.has(b)) return false;
    for (const isOnOneSide of this.partitions) {
      if (isOnOneSide(a) !== isOnOneSide(b)) return false;
    }
    return true;
  }
}

function addCount(counts: Map<VmId, number>, vm: VmId): () => void {
  counts.set(vm, (counts.get(vm) ?? 0) + 1);
  return () => {
    const left = (counts.get(vm) ?? 1) - 1;
    if (left > 0) counts.set(vm, left);
    else counts.delete(vm);
  };
}
