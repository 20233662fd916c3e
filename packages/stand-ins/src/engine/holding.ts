import {
  type EngineState,
  type EngineStateResponse,
  EngineRefusal,
  isPast,
  type OrderRequest,
} from '@zinniaspindle/shared';
import {sendJson} from '../http/json_client.js';
import type {EngineOptions} from './engine_options.js';
import type {EngineRecords} from './engine_records.js';
import {makeRefusal} from './engine_refused.js';

import {waitMilliseconds} from '../http/wait.js';

const fetchRetryMilliseconds = 500;

/** What an engine holds, and the orders that change it. */
export class Holding {
  private held: EngineState | undefined;
  private loading: EngineState | undefined;
  private loadAbort = new AbortController();
  private fencing = -1;

  constructor(
    private readonly options: EngineOptions,
    private readonly records: EngineRecords,
    private readonly handleUnload: () => void,
  ) {
    this.held = options.held;
  }

  /** The state that the engine serves from; undefined while it loads. */
  get current(): EngineState | undefined {
    return this.held;
  }

  describe(): EngineStateResponse {
    return {
      ...(this.held === undefined ? {} : {held: this.held}),
      ...(this.loading === undefined ? {} : {loading: this.loading}),
      fencing: this.fencing,
    };
  }

  /** Obeys an order, or throws the refusal. */
  applyOrder(order: OrderRequest): EngineStateResponse {
    const refusal = this.findRefusal(order);
    const {wanted, fencing} = order;
    const obeyed = refusal === undefined;
    this.records.orders.push({time: Date.now(), wanted, fencing, obeyed});
    if (refusal !== undefined) throw refusal;
    this.fencing = Math.max(this.fencing, fencing);
    this.startChange(wanted);
    return this.describe();
  }

  /** Gives up a load that runs. */
  stop(): void {
    this.loadAbort.abort();
  }

  private findRefusal(order: OrderRequest): Error | undefined {
    const {endpoint, checksFencing} = this.options;
    if (isPast(order.deadline, Date.now())) {
      const detail = `the order was to be obeyed before ${order.deadline}`;
      return makeRefusal(endpoint, EngineRefusal.DeadlinePassed, detail);
    }
    if (checksFencing && order.fencing < this.fencing) {
      const detail = `fencing ${order.fencing} is below ${this.fencing}`;
      return makeRefusal(endpoint, EngineRefusal.OldFencing, detail);
    }
    return undefined;
  }

  private startChange(wanted: EngineState): void {
    if (isSame(this.loading, wanted)) return;
    if (this.loading === undefined && isSame(this.held, wanted)) return;
    this.loadAbort.abort();
    this.loading = undefined;
    if (hasSameWeights(this.held, wanted)) {
      this.held = wanted;
      return;
    }
    this.held = undefined;
    this.handleUnload();
    this.loading = wanted;
    this.loadAbort = new AbortController();
    void this.runLoad(wanted, this.loadAbort.signal);
  }

  private async runLoad(wanted: EngineState, signal: AbortSignal) {
    while (!(await this.fetchWeights(wanted, signal))) {
      if (signal.aborted) return;
      await waitMilliseconds(fetchRetryMilliseconds);
    }
    if (signal.aborted) return;
    this.loading = undefined;
    this.held = wanted;
  }

  private async fetchWeights(
    wanted: EngineState,
    signal: AbortSignal,
  ): Promise<boolean> {
    const address = this.options.weightStore;
    if (address === undefined) return true;
    const {first, end} = wanted.layers;
    const model = encodeURIComponent(wanted.model);
    const path = `/v1/weights/${model}?first=${first}&end=${end}`;
    try {
      const reply = await sendJson({address, method: 'GET', path, signal});
      return reply.status === 200;
    } catch {
      // The store's outage is met by the next try.
      return false;
    }
  }
}

function hasSameWeights(a: EngineState | undefined, b: EngineState): boolean {
  return (
    a !== undefined &&
    a.model === b.model &&
    a.layers.first === b.layers.first &&
    a.layers.end === b.layers.end
  );
}

function isSame(a: EngineState | undefined, b: EngineState): boolean {
  return hasSameWeights(a, b) && a?.role === b.role;
}
