import type {RequestState} from '@zinniaspindle/decisions';
import type {RequestId} from '@zinniaspindle/shared';
import {isInFlight, RequestRun} from './request_runner.js';
import type {RequestPorts} from './request_runner.js';

/** The requests that this VM owns, and those it finished lately. */
export class RequestTable {
  private readonly runs = new Map<RequestId, RequestRun>();

  constructor(private readonly ports: RequestPorts) {}

  /** Finds a request that this VM owns or finished lately. */
  find(id: RequestId): RequestRun | undefined {
    return this.runs.get(id);
  }

  /** Adds a request. */
  add(state: RequestState): RequestRun {
    const run = new RequestRun(state, this.ports);
    this.runs.set(state.spec.id, run);
    return run;
  }

  /** Forgets a request. */
  remove(id: RequestId): void {
    this.runs.delete(id);
  }

  /** Counts the requests that have no final answer yet. */
  countInFlight(): number {
    let count = 0;
    for (const run of this.runs.values()) {
      if (isInFlight(run)) count += 1;
    }
    return count;
  }

  /** Lists those in flight whose caller is away and may come back. */
  listUnattended(): RequestRun[] {
    return this.listInFlight().filter(run => !run.hasCaller);
  }

  /** Lists the requests that have no final answer yet. */
  listInFlight(): RequestRun[] {
    return [...this.runs.values()].filter(isInFlight);
  }
}
