import type {StagePath} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import {Counter, type Metrics} from '../log/metrics.js';
import type {EndpointCalls} from '../ports/index.js';
import type {EndpointFacts, EndpointState} from './endpoint_state.js';
import type {EndpointTable} from './endpoint_table.js';

/** What a failed or successful question to an endpoint is told to. */
export interface ProbeListeners {
  /** An endpoint did not answer, this many times in a row. */
  readonly sendAccusation: (id: string, bornAt: Instant) => void;
  /** An endpoint answered something that was not known. */
  readonly sendFacts: (facts: EndpointFacts) => void;
}

/** An endpoint that does not answer gets no work until it is asked again. */
const suspectMilliseconds = 1500;
/** Endpoints that fail are asked this often whether they are back. */
const repeatMilliseconds = 700;
/** Gap after which a failed question is repeated, to rule out a lost packet. */
const confirmMilliseconds = 60;
/** Failed questions in a row after which an endpoint counts as down. */
export const confirmedProbes = 2;

/** Asks endpoints for their reports when their work does not come back. */
export class Probes {
  private readonly asking = new Set<string>();
  private readonly failing = new Map<string, Instant>();

  constructor(
    private readonly table: EndpointTable,
    private readonly calls: EndpointCalls,
    private readonly listeners: ProbeListeners,
    private readonly metrics: Metrics,
    private readonly getNow: () => Instant,
  ) {}

  /** Asks all endpoints of a path; tells whether all answered. */
  async probePath(path: StagePath): Promise<boolean> {
    const answers = path.parts.map(({endpoint}) => this.probe(endpoint.id));
    return (await Promise.all(answers)).every(isUp => isUp);
  }

  /** Asks an endpoint, once more after a failure; tells whether it answered. */
  async probe(id: string): Promise<boolean> {
    const state = this.table.find(id);
    if (state === undefined) return false;
    if (this.asking.has(id)) return state.failedProbes === 0;
    this.asking.add(id);
    try {
      if (await this.askOnce(state)) return true;
      await new Promise(resolve => setTimeout(resolve, confirmMilliseconds));
      return await this.askOnce(state);
    } finally {
      this.asking.delete(id);
    }
  }

  /** Asks the endpoints that failed before whether they are back. */
  probeFailing(): void {
    const now = this.getNow();
    for (const [id, askAt] of this.failing) {
      if (askAt > now) continue;
      if (this.table.find(id) === undefined) this.failing.delete(id);
      else void this.probe(id);
    }
  }

  private async askOnce(state: EndpointState): Promise<boolean> {
    const {id, address} = state.entry;
    this.metrics.count(Counter.Probes);
    const report = await this.calls.fetchReport(address);
    if (this.table.find(id) !== state) return false;
    if (report.isErr) {
      const now = this.getNow();
      state.failedProbes += 1;
      this.failing.set(id, now + repeatMilliseconds);
      this.table.recordSuspicion(
        state,
        now + suspectMilliseconds,
        report.error.message,
      );
      if (state.failedProbes >= confirmedProbes) {
        this.listeners.sendAccusation(id, state.bornAt);
      }
      return false;
    }
    this.failing.delete(id);
    this.table.removeSuspicion(state);
    const {bornAt, orderCount, held} = report.value;
    const facts = {id, bornAt, orderCount, held};
    if (this.table.applyReport(facts)) this.listeners.sendFacts(facts);
    return true;
  }
}
