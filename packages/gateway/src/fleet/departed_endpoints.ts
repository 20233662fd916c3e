import {isPast, type Deadline, type Instant} from '@zinniaspindle/shared';
import type {EndpointState} from './endpoint_state.js';

/**
 * Time for which an endpoint may go on serving its streams once its entry is gone:
 * that of a planned stop, 2 s (settings), and at times some seconds more.
 */
const servingMilliseconds = 10_000;

interface DepartedEndpoint {
  readonly state: EndpointState;
  readonly servesUntil: Deadline;
}

/**
 * The endpoints whose entries were removed while they were sound: some leave without
 * a report, and go on serving for a while.
 */
export class DepartedEndpoints {
  private readonly endpoints = new Map<string, DepartedEndpoint>();

  constructor(private readonly getNow: () => Instant) {}

  /** Adds an endpoint whose entry is removed, unless it has failed. */
  add(state: EndpointState): void {
    const now = this.getNow();
    // Only the owner of a model's orders lists them.
    this.expire();
    const {entry, health, suspectUntil} = state;
    if (health.failedProbes > 0 || !isPast(suspectUntil, now)) return;
    const servesUntil = now + servingMilliseconds;
    this.endpoints.set(entry.id, {state, servesUntil});
  }

  /** Removes an endpoint that is back, or that has ended. */
  remove(id: string): void {
    this.endpoints.delete(id);
  }

  /** Lists those of a service that may still serve. */
  list(service: string): EndpointState[] {
    this.expire();
    const found: EndpointState[] = [];
    for (const {state} of this.endpoints.values()) {
      if (state.entry.service === service) found.push(state);
    }
    return found;
  }

  /** Counts those that are kept. */
  count(): number {
    return this.endpoints.size;
  }

  private expire(): void {
    const now = this.getNow();
    for (const [id, {servesUntil}] of this.endpoints) {
      if (isPast(servesUntil, now)) this.endpoints.delete(id);
    }
  }
}
