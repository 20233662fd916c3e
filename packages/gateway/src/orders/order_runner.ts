import {
  Answerer,
  createChangeWatch,
  defaultRangeOptions,
  findAnswerer,
  isConfirmedFailed,
  isOfOther,
  planRanges,
  recordMembers,
  type ChangeWatch,
  type PlannedEndpoint,
  type PlannedRange,
  type RangePlan,
  type StageEndpoint,
} from '@zinniaspindle/decisions';
import {
  formatLayerRange,
  GatewayEvent,
  type Instant,
  type LayerRange,
} from '@zinniaspindle/shared';
import {getAsked} from '../fleet/asked_endpoint.js';
import {isSameRange, type EndpointState} from '../fleet/endpoint_state.js';
import type {EndpointTable} from '../fleet/endpoint_table.js';
import type {EndpointProber} from '../fleet/endpoint_prober.js';
import type {WriteEvent} from '../log/event_log.js';
import {makeOpener} from '../links/make_opener.js';
import {Counter, type Metrics} from '../log/metrics.js';
import {
  OrderOutcome,
  type Configuration,
  type EndpointCalls,
  type ServiceModel,
} from '../ports/index.js';
import type {AnnouncedOrder, OrderMessage} from '../peers/messages.js';
import type {Ownership} from './ownership.js';

/** The first plan waits until no endpoint has been added for this long. */
const settleMilliseconds = 700;
/**
 * Interval of reports during a load: they lag by some hundred ms, and a load
 * takes at least 200 ms.
 */
const reportIntervalMilliseconds = 220;
const retryDelayMilliseconds = 400;

const emptyPlan: RangePlan = new Map();

/** The plan of a service and what it was made of. */
interface ServicePlan {
  readonly watch: ChangeWatch;
  /** The endpoints and what they hold; the plan is a result of these alone. */
  inputs: string;
  plan: RangePlan;
}

/** Orders endpoints to hold their planned layers while this VM is the owner. */
export class OrderRunner {
  private readonly busyUntil = new Map<string, Instant>();
  private readonly plans = new Map<string, ServicePlan>();
  private knownCount = 0;
  private settledAt: Instant = 0;

  constructor(
    private readonly table: EndpointTable,
    private readonly calls: EndpointCalls,
    private readonly prober: EndpointProber,
    private readonly ownership: Ownership,
    /** Called for each order that an endpoint has started. */
    private readonly handleOrder: (order: Omit<OrderMessage, 'kind'>) => void,
    private readonly countPeers: () => number,
    private readonly writeEvent: WriteEvent,
    private readonly metrics: Metrics,
    private readonly getNow: () => Instant,
    /**
     * Called before each order, which may be carried out without an answer, or
     * long before its answer.
     */
    private readonly announce: (order: AnnouncedOrder) => void,
  ) {}

  /**
   * Compares the layers of all endpoints with the plan and sends orders where
   * they differ.
   */
  run(configuration: Configuration | undefined): void {
    const now = this.getNow();
    if (this.table.count() > this.knownCount) {
      this.settledAt = now + settleMilliseconds;
    }
    this.knownCount = this.table.count();
    const token = this.ownership.findFencingToken();
    if (token === undefined || configuration === undefined) return;
    for (const {name, model} of configuration.services.values()) {
      if (model !== undefined) this.runService(name, model, token);
    }
  }

  private runService(
    service: string,
    model: ServiceModel,
    token: number,
  ): void {
    const stages = this.table.listOrdered(service, model, state =>
      this.canHold(state),
    );
    const isEmpty = stages.every(({held}) => held === undefined);
    if (isEmpty && this.getNow() < this.settledAt) return;
    // Without a plan, loads in progress are still followed.
    const plan = this.findPlan(service, model, stages) ?? emptyPlan;
    for (const stage of stages) this.updateStage(stage, plan, model, token);
  }

  /**
   * Finds the plan for the present endpoints; undefined while endpoints that are
   * lost or added together are still being found.
   */
  private findPlan(
    service: string,
    model: ServiceModel,
    stages: readonly PlannedEndpoint[],
  ): RangePlan | undefined {
    const leaving = this.table.listLeaving(service, model);
    let known = this.plans.get(service);
    if (known === undefined) {
      known = {watch: createChangeWatch(), inputs: '', plan: new Map()};
      this.plans.set(service, known);
    }
    const members = stages.map(({id}) => id).join();
    if (!recordMembers(known.watch, members, this.getNow())) return undefined;
    const rows = stages.map(
      ({id, held, isLoading}) =>
        `${id} ${held?.first} ${held?.end} ${isLoading}`,
    );
    const inputs = [...rows, ...leaving.map(({id}) => id)].join();
    if (inputs === known.inputs) return known.plan;
    known.inputs = inputs;
    known.plan = planRanges(stages, model.shape, defaultRangeOptions, leaving);
    return known.plan;
  }

  private updateStage(
    stage: StageEndpoint,
    plan: RangePlan,
    model: ServiceModel,
    token: number,
  ): void {
    const state = this.table.find(stage.id);
    if (state === undefined) return;
    const now = this.getNow();
    if ((this.busyUntil.get(stage.id) ?? 0) > now) return;
    const wanted = plan.get(stage.id);
    if (this.table.isBusy(state)) {
      this.busyUntil.set(stage.id, now + reportIntervalMilliseconds);
      void this.pollReport(state);
      return;
    }
    if (this.table.findPauseEnd(state) !== undefined) return;
    if (wanted === undefined || isSameRange(wanted.range, stage.held)) return;
    if (!canFit(stage, wanted.range, model)) return;
    this.busyUntil.set(stage.id, now + retryDelayMilliseconds);
    void this.sendOrder(state, wanted, token);
  }

  private async sendOrder(
    state: EndpointState,
    {range, isUrgent, cutsStreams}: PlannedRange,
    fencingToken: number,
  ): Promise<void> {
    const asked = getAsked(state);
    const {id, address, bornAt} = asked;
    const {orderCount} = state;
    const order = {...{id, bornAt, range}, orderCount: orderCount + 1};
    this.announce({...order, cutsRequests: cutsStreams});
    this.metrics.count(Counter.Orders);
    const source = 'order';
    const opener = makeOpener(this.prober.links, asked, source);
    const reply = await this.calls.sendOrder(
      {
        address,
        endpointId: id,
        range,
        cutsRequests: cutsStreams,
        fencingToken,
        expectedOrderCount: orderCount,
      },
      (notice, claims) => {
        if (claims !== undefined && isOfOther({asked}, claims)) return;
        this.table.acceptNotice(asked, notice, source);
      },
      opener.open,
    );
    const layers = formatLayerRange(range);
    if (reply.isErr) {
      // The order may still be executed; the report shows it.
      const detail = reply.error.message;
      this.writeEvent(GatewayEvent.OrderFailed, {endpoint: id, layers, detail});
      await this.pollReport(state);
      return;
    }
    const {outcome, claims} = reply.value;
    this.writeEvent(GatewayEvent.OrderSent, {
      endpoint: id,
      layers,
      outcome,
      token: fencingToken,
      expected: orderCount,
    });
    if (outcome === OrderOutcome.Fenced) this.ownership.handleFenced();
    const isRelayed = opener.isRelayed();
    const answerer = findAnswerer({asked, isRelayed}, claims);
    if (answerer === Answerer.Other) {
      return this.prober.recordReplaced(asked, claims, source);
    }
    if (outcome !== OrderOutcome.Started) {
      await this.pollReport(state);
      this.busyUntil.delete(id);
      return;
    }
    this.handleOrder({
      ...order,
      cutsRequests: isUrgent,
      waitsForRequests: !cutsStreams,
    });
    this.busyUntil.set(id, this.getNow() + reportIntervalMilliseconds);
  }

  private async pollReport(state: EndpointState): Promise<void> {
    const report = await this.prober.fetchReport(state);
    if (report === undefined) return;
    if (report.isErr) {
      state.health.failedProbes += 1;
      return;
    }
    state.health.failedProbes = 0;
    const {isBusy, orderCount} = report.value;
    this.table.recordProgress(state, isBusy, orderCount);
  }

  /**
   * Tells whether the plan may use an endpoint. Suspected endpoints may still
   * be used; only those with a confirmed failure are excluded.
   */
  private canHold(state: EndpointState): boolean {
    return !isConfirmedFailed(state.health, this.countPeers(), this.getNow());
  }
}

function canFit(
  stage: StageEndpoint,
  range: LayerRange,
  model: ServiceModel,
): boolean {
  const megabytes = (range.end - range.first) * model.shape.layerMegabytes;
  return megabytes <= stage.sizeMegabytes;
}
