import {
  planRanges,
  type PlannedEndpoint,
  type StageModel,
} from '@zinniaspindle/decisions';
import type {LayerRange} from '@zinniaspindle/shared';

/** Time for one layer to load while few endpoints load. */
const layerMilliseconds = 175;
const planMilliseconds = 100;
/** What the planner knows of held layers is this old. */
const reportLagMilliseconds = 200;

interface EmulatedEndpoint {
  readonly base: PlannedEndpoint;
  held: LayerRange | undefined;
  target: LayerRange | undefined;
  /** Milliseconds that the load still takes at full speed. */
  loadLeft: number;
  loadedAt: number;
  /** The range it held when it last reported. */
  reported: LayerRange | undefined;
  isSuspected: boolean;
  isLeaving: boolean;
}

/**
 * Endpoints that load what a planner orders, in virtual time. An endpoint that
 * loads refuses other orders, as on the platform.
 */
export class PlanEmulator {
  now = 0;
  orders = 0;
  /** Orders to endpoints that were loading. */
  refused = 0;
  /** Orders of more layers than the endpoint's memory holds. */
  oversized = 0;
  loadedLayers = 0;
  lastOrderAt = 0;
  private readonly endpoints = new Map<string, EmulatedEndpoint>();

  constructor(private readonly model: StageModel) {}

  /** Adds an empty endpoint. */
  add(base: PlannedEndpoint): void {
    this.endpoints.set(base.id, {
      base,
      held: undefined,
      target: undefined,
      loadLeft: 0,
      loadedAt: 0,
      reported: undefined,
      isSuspected: false,
      isLeaving: false,
    });
  }

  /** Removes an endpoint, as after a crash. */
  remove(id: string): void {
    this.endpoints.delete(id);
  }

  /** Makes an endpoint drain. */
  startDrain(id: string): void {
    this.endpoints.get(id)!.isLeaving = true;
  }

  /** Makes the planner leave an endpoint out, or take it up again. */
  setSuspected(id: string, isSuspected: boolean): void {
    this.endpoints.get(id)!.isSuspected = isSuspected;
  }

  /** Lists the ids of the endpoints that have not left. */
  listIds(): string[] {
    return [...this.endpoints.keys()];
  }

  /** Lists what the planner sees. */
  listView(): PlannedEndpoint[] {
    const view: PlannedEndpoint[] = [];
    for (const one of this.endpoints.values()) {
      if (one.isLeaving || one.isSuspected) continue;
      const isLoading = one.target !== undefined;
      const held = one.target ?? one.reported;
      view.push({...one.base, held, isLoading});
    }
    return view;
  }

  /** Lists the endpoints with the layers that they have loaded. */
  listHeld(): PlannedEndpoint[] {
    return [...this.endpoints.values()].map(({base, held}) => ({
      ...base,
      held,
    }));
  }

  /** Plans and loads until an instant. */
  runUntil(end: number): void {
    while (this.now < end) {
      this.now += planMilliseconds;
      this.resolveLoads();
      this.sendOrders();
    }
  }

  private resolveLoads(): void {
    const loading = [...this.endpoints.values()].filter(
      ({target, loadLeft}) => target !== undefined && loadLeft > 0,
    );
    const speed = Math.min(1, this.model.loadsAtOnce / loading.length);
    for (const one of loading) {
      one.loadLeft -= planMilliseconds * speed;
      one.loadedAt = this.now;
    }
    for (const one of this.endpoints.values()) {
      if (one.target === undefined || one.loadLeft > 0) continue;
      one.held = one.target;
      // The report that shows it comes later.
      if (this.now < one.loadedAt + reportLagMilliseconds) continue;
      one.reported = one.held;
      one.target = undefined;
    }
  }

  private sendOrders(): void {
    const leaving: PlannedEndpoint[] = [];
    for (const {isLeaving, base, held} of this.endpoints.values()) {
      if (isLeaving) leaving.push({...base, held});
    }
    const plan = planRanges(this.listView(), this.model, undefined, leaving);
    for (const [id, {range}] of plan) {
      const one = this.endpoints.get(id)!;
      const known = one.target ?? one.reported;
      if (known?.first === range.first && known.end === range.end) continue;
      this.startLoad(one, range);
    }
  }

  private startLoad(one: EmulatedEndpoint, range: LayerRange): void {
    this.orders += 1;
    this.lastOrderAt = this.now;
    const size = (range.end - range.first) * this.model.layerMegabytes;
    if (size > one.base.sizeMegabytes) this.oversized += 1;
    if (one.target !== undefined) {
      this.refused += 1;
      return;
    }
    const kept =
      one.held === undefined
        ? 0
        : Math.min(one.held.end, range.end) -
          Math.max(one.held.first, range.first);
    const loads = range.end - range.first - Math.max(0, kept);
    this.loadedLayers += loads;
    one.target = range;
    one.loadLeft = loads * layerMilliseconds;
    one.loadedAt = this.now;
    const first = Math.max(one.held?.first ?? 0, range.first);
    const end = Math.min(one.held?.end ?? 0, range.end);
    one.held = end > first ? {first, end} : undefined;
  }
}
