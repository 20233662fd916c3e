import {
  formatLayerRange,
  type Deadline,
  type Instant,
  type LayerRange,
} from '@zinniaspindle/shared';
import {
  createBreaker,
  createEndpointHealth,
  type Breaker,
  type EndpointHealth,
} from '@zinniaspindle/decisions';
import type {EndpointEntry} from '../ports/index.js';

/** An order that an endpoint may still be carrying out. */
export interface PendingRange {
  readonly range: LayerRange;
  readonly bornAt: Instant;
  /** The order is no longer believed to be under way from then on. */
  readonly until: Deadline;
}

/** What a VM learned from an endpoint itself, or from a peer that asked it. */
export interface EndpointFacts {
  readonly id: string;
  readonly bornAt: Instant;
  readonly orderCount: number;
  readonly held: LayerRange | undefined;
}

/** What this VM believes about one endpoint. */
export interface EndpointState {
  entry: EndpointEntry;
  bornAt: Instant;
  /** Orders accepted since its start, as far as it was asked. */
  orderCount: number;
  held: LayerRange | undefined;
  /** When an order was last begun, as far as it was told. */
  orderedAt: Instant;
  /** When held was last learned from the endpoint itself. */
  reportedAt: Instant;
  pending: PendingRange | undefined;
  /** No new work before this instant. */
  suspectUntil: Deadline;
  /** What speaks against the endpoint. */
  readonly health: EndpointHealth;
  /** Removal of the entry, put off while the store recovers. */
  removeAt: Deadline | undefined;
  /** Requests of this VM that run at the endpoint. */
  running: number;
  /** Failures of plain requests. */
  readonly breaker: Breaker;
}

/** Creates the state of an endpoint that was just listed. */
export function createEndpointState(entry: EndpointEntry): EndpointState {
  return {
    entry,
    bornAt: entry.bornAt,
    orderCount: 0,
    held: entry.held,
    orderedAt: -Infinity,
    reportedAt: -Infinity,
    pending: undefined,
    suspectUntil: 0,
    health: createEndpointHealth(),
    removeAt: undefined,
    running: 0,
    breaker: createBreaker(),
  };
}

/** Formats what an endpoint holds. */
export function formatHeld(held: LayerRange | undefined): string {
  return held === undefined ? 'none' : formatLayerRange(held);
}

/** Tells whether two ranges are the same. */
export function isSameRange(
  a: LayerRange | undefined,
  b: LayerRange | undefined,
): boolean {
  return a?.first === b?.first && a?.end === b?.end;
}

/** Tells whether a range has all layers of another. */
export function hasAllLayers(
  range: LayerRange | undefined,
  other: LayerRange | undefined,
): boolean {
  if (other === undefined) return true;
  if (range === undefined) return false;
  return range.first <= other.first && range.end >= other.end;
}
