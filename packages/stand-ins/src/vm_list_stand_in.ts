import type {Instant, ListedVm, VmId} from '@zinniaspindle/shared';
import {ListedState} from '@zinniaspindle/shared';
import {makeBadRequest} from './errors.js';
import {applySwitches, makeHttpFaults} from './http/http_faults.js';
import {
  answerNotFound,
  startJsonServer,
  type Exchange,
  type JsonAnswer,
  type StandIn,
} from './http/json_server.js';
import {readString} from './http/read_fields.js';

/** How a VM list is set up. */
export interface VmListStandInOptions {
  readonly port?: number;
  /** Milliseconds until a change shows on the list. */
  readonly lagMilliseconds: number;
}

/** The options of a list that lags as little as a platform's may. */
export const defaultVmListOptions: VmListStandInOptions = {
  lagMilliseconds: 2000,
};

/**
 * A message to POST /control beside the HTTP faults: adds or replaces a VM,
 * removes one, marks one as leaving, or changes the lag of later changes.
 */
export interface VmListControl {
  readonly add?: ListedVm;
  readonly remove?: VmId;
  readonly leave?: VmId;
  readonly lagMilliseconds?: number;
}

interface Change {
  readonly showsAt: Instant;
  readonly apply: (vms: Map<VmId, ListedVm>) => void;
}

/** The platform's list of VMs, which shows each change after its lag. */
class VmListServer {
  readonly faults = makeHttpFaults();
  private readonly shown = new Map<VmId, ListedVm>();
  private pending: Change[] = [];

  constructor(private lagMilliseconds: number) {}

  handle(exchange: Exchange): JsonAnswer {
    if (exchange.method !== 'GET' || exchange.path !== '/v1/vms') {
      return answerNotFound(exchange);
    }
    return {status: 200, body: {vms: this.listVms()}};
  }

  describe(): unknown {
    return {
      faults: this.faults,
      lagMilliseconds: this.lagMilliseconds,
      vms: this.listVms(),
      pending: this.pending.length,
    };
  }

  applyControl(message: Readonly<Record<string, unknown>>): void {
    const {add, remove, leave, lagMilliseconds, ...faults} = message;
    applySwitches(this.faults, faults);
    if (lagMilliseconds !== undefined) this.setLag(lagMilliseconds);
    if (add !== undefined) this.addVm(add);
    if (remove !== undefined) {
      const id = readString({remove}, 'remove') as VmId;
      this.addChange(vms => vms.delete(id));
    }
    if (leave !== undefined) {
      this.addLeave(readString({leave}, 'leave') as VmId);
    }
  }

  private setLag(value: unknown): void {
    if (typeof value !== 'number') {
      throw makeBadRequest('field "lagMilliseconds" must be a number');
    }
    this.lagMilliseconds = value;
  }

  private addVm(value: unknown): void {
    const vm = value as ListedVm;
    readString(value as Readonly<Record<string, unknown>>, 'id');
    readString(value as Readonly<Record<string, unknown>>, 'address');
    this.addChange(vms => vms.set(vm.id, vm));
  }

  private addLeave(id: VmId): void {
    this.addChange(vms => {
      const vm = vms.get(id);
      if (vm === undefined) return;
      vms.set(id, {...vm, state: ListedState.Leaving});
    });
  }

  private addChange(apply: Change['apply']): void {
    this.pending.push({showsAt: Date.now() + this.lagMilliseconds, apply});
  }

  private listVms(): ListedVm[] {
    const now = Date.now();
    const later: Change[] = [];
    for (const change of this.pending) {
      if (change.showsAt > now) later.push(change);
      else change.apply(this.shown);
    }
    this.pending = later;
    return [...this.shown.values()];
  }
}

/** Starts a VM list that lags behind the truth. */
export function startVmListStandIn(
  options: VmListStandInOptions = defaultVmListOptions,
): Promise<StandIn> {
  const server = new VmListServer(options.lagMilliseconds);
  return startJsonServer({
    port: options.port,
    faults: server.faults,
    handle: exchange => server.handle(exchange),
    applyControl: message => server.applyControl(message),
    describe: () => server.describe(),
  });
}
