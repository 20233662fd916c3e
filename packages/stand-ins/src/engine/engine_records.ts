import type {
  EndpointId,
  EngineState,
  EngineStateResponse,
  Instant,
  RequestId,
} from '@zinniaspindle/shared';
import type {EngineFaults} from './engine_faults.js';
import {type WorkRecord, WorkKind} from '../hooks.js';

const maxAttemptsKept = 50_000;

/** What one attempt of a request did at one engine. */
export interface AttemptReport {
  readonly request: RequestId;
  readonly attempt: number;
  /** Times that this engine led the attempt's stream. */
  streams: number;
  /** Steps run here, by token index; 0 or absent where none was. */
  readonly steps: number[];
}

/** One order as an engine met it. */
export interface OrderReport {
  readonly time: Instant;
  readonly wanted: EngineState;
  readonly fencing: number;
  readonly obeyed: boolean;
}

/** Body of GET /control at an engine. */
export interface EngineReport {
  readonly endpoint: EndpointId;
  readonly faults: EngineFaults;
  readonly state: EngineStateResponse;
  readonly attempts: readonly AttemptReport[];
  readonly orders: readonly OrderReport[];
}

/** Counts what an engine executed, so that a ledger can compare. */
export class EngineRecords {
  readonly orders: OrderReport[] = [];
  private readonly attempts = new Map<string, AttemptReport>();

  constructor(
    private readonly endpoint: EndpointId,
    private readonly recordWork: (work: WorkRecord) => void,
  ) {}

  addStream(request: RequestId, attempt: number): void {
    this.getAttempt(request, attempt).streams += 1;
  }

  addStep(request: RequestId, attempt: number, index: number): void {
    const {steps} = this.getAttempt(request, attempt);
    if (steps.length === 0) {
      const {endpoint} = this;
      this.recordWork({kind: WorkKind.AttemptRan, endpoint, request, attempt});
    }
    while (steps.length < index) steps.push(0);
    steps[index] = (steps[index] ?? 0) + 1;
  }

  /** Tells of an attempt that came to a leaving engine. */
  addRefused(request: RequestId, attempt: number): void {
    const {endpoint} = this;
    const kind = WorkKind.AttemptRefused;
    this.recordWork({kind, endpoint, request, attempt});
  }

  listAttempts(): AttemptReport[] {
    return [...this.attempts.values()];
  }

  private getAttempt(request: RequestId, attempt: number): AttemptReport {
    const key = `${request} ${attempt}`;
    const known = this.attempts.get(key);
    if (known !== undefined) return known;
    const made: AttemptReport = {request, attempt, streams: 0, steps: []};
    this.attempts.set(key, made);
    this.dropOldest();
    return made;
  }

  private dropOldest(): void {
    if (this.attempts.size <= maxAttemptsKept) return;
    for (const key of this.attempts.keys()) {
      this.attempts.delete(key);
      return;
    }
  }
}
