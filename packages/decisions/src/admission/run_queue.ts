import {
  isPast,
  millisecondsPerSecond,
  RoutingEvent,
  type AccountId,
  type Instant,
  type ModelName,
} from '@zinniaspindle/shared';
import type {ChainPlan} from '../routing/chain_query.js';
import {describeChain} from '../routing/choose_chain.js';
import {updateShare, takeTokens, type AccountShare} from './account_limits.js';
import {addRefusal, type AdmissionContext} from './admission_context.js';
import {
  addToQueue,
  countTokensAhead,
  listWaiting,
  removeEntry,
  takeFirst,
  type AccountQueue,
  type QueuedWork,
} from './fair_queue.js';
import {
  AdmissionCommandKind,
  RefusalReason,
  type WorkItem,
} from './messages.js';
import {addToRate, readRate} from './moving_rate.js';
import {recordStartedWork} from './retry_accounting.js';
import {takeModelQueue, type ModelQueue} from './state.js';

const minRetryMilliseconds = 250;

/** Adds a request to its model's queue; returns false if it was refused. */
export function addWork(
  context: AdmissionContext,
  work: WorkItem,
  share: AccountShare,
): boolean {
  const {state, tools, now} = context;
  const {options} = tools;
  const model = takeModelQueue(state, work.query.model, now);
  const {query} = work;
  const runMilliseconds =
    model.firstTokenMilliseconds + model.gapMilliseconds * query.tokensLeft;
  const latestStartAt = Math.min(
    now + options.maxQueueMilliseconds,
    query.deadline - runMilliseconds,
  );
  if (latestStartAt < now) {
    refuseWork(context, model, work, RefusalReason.DeadlineTooSoon);
    return false;
  }
  if (state.queuedBytes + work.bytes > options.maxQueuedBytes) {
    refuseWork(context, model, work, RefusalReason.EntryFull);
    return false;
  }
  const entry = {work, arrivedAt: now, latestStartAt};
  addToQueue(model.queue, entry, share.object.weight);
  state.queued.set(work.request, work);
  state.queuedBytes += work.bytes;
  return true;
}

/** Runs the queues of all models. */
export function runQueues(context: AdmissionContext): void {
  for (const model of context.state.models.keys()) {
    runQueue(context, model, false);
  }
}

/**
 * Starts the requests of one model's queue that may start, and refuses those
 * past their latest start. With isArrival, requests that arrived now are also
 * refused if their predicted wait is too long.
 */
export function runQueue(
  context: AdmissionContext,
  name: ModelName,
  isArrival: boolean,
): void {
  const {state, now} = context;
  const model = takeModelQueue(state, name, now);
  if (model.pausedUntil <= now) startWaiting(context, model);
  refuseLate(context, model, isArrival);
}

function startWaiting(context: AdmissionContext, model: ModelQueue): void {
  for (;;) {
    const started = startNext(context, model);
    if (!started) return;
  }
}

/** Starts the first waiting request that meets the admission policy. */
function startNext(context: AdmissionContext, model: ModelQueue): boolean {
  const {state, tools, now} = context;
  const waiting = listWaiting(model.queue);
  if (waiting.length === 0) return false;
  if (state.running.size >= tools.options.maxRunning) return false;
  let isSaturated = false;
  for (const flow of waiting) {
    const share = state.limits.shares.get(flow.account);
    if (share === undefined) continue;
    updateShare(share, now, tools.limitOptions);
    if (share.limitTokens <= 0) continue;
    const isWithinRate = isWithinFairRate(context, flow.account);
    const isSpareUsed = isSaturated || state.limits.spareTokens <= 0;
    if (!isWithinRate && isSpareUsed) continue;
    const outcome = startIfAdmitted(context, model, flow, share, isWithinRate);
    if (outcome === Outcome.Started || outcome === Outcome.Refused) return true;
    if (isWithinRate) break;
    isSaturated = true;
  }
  model.pausedUntil = now + tools.options.pauseMilliseconds;
  return false;
}

enum Outcome {
  Blocked,
  Refused,
  Started,
}

function startIfAdmitted(
  context: AdmissionContext,
  model: ModelQueue,
  flow: AccountQueue,
  share: AccountShare,
  isWithinRate: boolean,
): Outcome {
  const {tools, now, random} = context;
  const {work} = flow.entries[0]!;
  const planned = tools.planChain(work.query, now, random);
  if (planned.isErr) {
    refuseQueued(context, model, flow, flow.entries[0]!, RefusalReason.NoChain);
    return Outcome.Refused;
  }
  const plan = planned.value;
  model.firstTokenMilliseconds = plan.firstTokenAt - now;
  const {policy} = tools;
  model.gapMilliseconds = Math.min(
    plan.tokenGapMilliseconds,
    policy.maxGapMilliseconds,
  );
  const gap = isWithinRate
    ? policy.maxGapMilliseconds
    : policy.maxSpareGapMilliseconds;
  if (plan.tokenGapMilliseconds > gap) return Outcome.Blocked;
  const fullness = isWithinRate ? policy.maxFullness : policy.maxSpareFullness;
  if (plan.reason.fullness > fullness) return Outcome.Blocked;
  if (plan.reason.waitMilliseconds > policy.maxEngineWaitMilliseconds) {
    return Outcome.Blocked;
  }
  if (plan.finishAt > work.query.deadline) {
    const reason = RefusalReason.DeadlineTooSoon;
    refuseQueued(context, model, flow, flow.entries[0]!, reason);
    return Outcome.Refused;
  }
  if (!isWithinRate) context.state.limits.spareTokens -= work.query.tokensLeft;
  startWork(context, model, flow, share, plan);
  return Outcome.Started;
}

function startWork(
  context: AdmissionContext,
  model: ModelQueue,
  flow: AccountQueue,
  share: AccountShare,
  plan: ChainPlan,
): void {
  const {state, tools, now, commands, logEvents} = context;
  const {work} = takeFirst(model.queue, flow);
  const tokens = work.query.tokensLeft;
  takeTokens(share, tokens);
  addToRate(model.drainRate, tokens, now, tools.options.drainDecayMilliseconds);
  state.queued.delete(work.request);
  state.queuedBytes -= work.bytes;
  state.running.set(work.request, {work, tokensDelivered: 0, replacements: 0});
  recordStartedWork(state, work);
  const {request} = work;
  const kind = AdmissionCommandKind.Start as const;
  commands.push({kind, request, plan, isRetry: false});
  logEvents.push({
    event: RoutingEvent.WorkAdmitted,
    fields: {
      request,
      account: work.account,
      chain: describeChain(plan.stages),
      gap: Math.round(plan.tokenGapMilliseconds),
      ...plan.reason,
    },
  });
}

/** Refuses requests that are, or are predicted to be, past their latest start. */
function refuseLate(
  context: AdmissionContext,
  model: ModelQueue,
  isArrival: boolean,
): void {
  const {now} = context;
  for (const flow of listWaiting(model.queue)) {
    for (const entry of [...flow.entries]) {
      const isLate = isPast(entry.latestStartAt, now);
      const isPredictedLate =
        isArrival &&
        entry.arrivedAt === now &&
        now + predictWait(context, model, entry) > entry.latestStartAt;
      if (!isLate && !isPredictedLate) continue;
      const reason = pickRefusalReason(context, entry);
      refuseQueued(context, model, flow, entry, reason);
    }
  }
}

function pickRefusalReason(
  context: AdmissionContext,
  entry: QueuedWork,
): RefusalReason {
  const share = context.state.limits.shares.get(entry.work.account);
  const isLimited = share !== undefined && share.limitTokens <= 0;
  return isLimited ? RefusalReason.AccountLimit : RefusalReason.Overloaded;
}

function isWithinFairRate(
  context: AdmissionContext,
  account: AccountId,
): boolean {
  const {limits} = context.state;
  const share = limits.shares.get(account);
  if (!limits.isContended || share === undefined) return true;
  return share.isWithinEntitlement || share.fairTokens > 0;
}

function predictWait(
  context: AdmissionContext,
  model: ModelQueue,
  entry: QueuedWork,
): number {
  const isOwnWithin = isWithinFairRate(context, entry.work.account);
  const canServe = (account: AccountId) =>
    !isOwnWithin || isWithinFairRate(context, account);
  const ahead = countTokensAhead(model.queue, entry, canServe);
  return predictDrainMilliseconds(context, model, ahead);
}

function predictDrainMilliseconds(
  context: AdmissionContext,
  model: ModelQueue,
  tokens: number,
): number {
  if (tokens === 0) return 0;
  const decay = context.tools.options.drainDecayMilliseconds;
  const rate = readRate(model.drainRate, context.now, decay);
  const minRate = computeMinDrainRate(context);
  return (tokens * millisecondsPerSecond) / Math.max(rate, minRate);
}

/**
 * Computes the lowest drain rate to assume, also before any was measured: half
 * of this VM's even share of the fleet's capacity.
 */
function computeMinDrainRate(context: AdmissionContext): number {
  const {state, tools, now} = context;
  const vms = state.limits.peers.size + 1;
  return Math.max(1, tools.readCapacity(now) / vms / 2);
}

function refuseQueued(
  context: AdmissionContext,
  model: ModelQueue,
  flow: AccountQueue,
  entry: QueuedWork,
  reason: RefusalReason,
): void {
  const {state} = context;
  const {work} = entry;
  removeEntry(model.queue, flow, entry);
  state.queued.delete(work.request);
  state.queuedBytes -= work.bytes;
  refuseWork(context, model, work, reason);
}

function refuseWork(
  context: AdmissionContext,
  model: ModelQueue,
  work: WorkItem,
  reason: RefusalReason,
): void {
  const retryAt = computeRetryAt(context, model, work);
  addRefusal(context, work, reason, retryAt);
}

/**
 * Predicts when the queue and this request's tokens will have drained. A random
 * part spreads the retries of callers that are refused together.
 */
function computeRetryAt(
  context: AdmissionContext,
  model: ModelQueue,
  work: WorkItem,
): Instant {
  const {tools, now, random} = context;
  const tokens = model.queue.tokens + work.query.tokensLeft;
  const drain = predictDrainMilliseconds(context, model, tokens);
  const longest = 10 * tools.options.maxQueueMilliseconds;
  const wait = Math.min(Math.max(drain, minRetryMilliseconds), longest);
  return now + wait * (1 + 0.5 * random());
}
