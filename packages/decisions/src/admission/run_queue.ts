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
import {recordFreshWork} from './retry_accounting.js';
import {takeModelQueue, type ModelQueue} from './state.js';

const leastRetryMilliseconds = 250;

/** Puts a request into its queue; false when it was refused instead. */
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
    now + options.queueMilliseconds,
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

/** Runs every model's queue. */
export function runQueues(context: AdmissionContext): void {
  for (const model of context.state.models.keys()) {
    runQueue(context, model, false);
  }
}

/**
 * Starts what may start of one model's queue and refuses what can't be served
 * in time. With isArrival the newcomers' waits are judged too.
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

/** Starts the first waiting request that passes its gate. */
function startNext(context: AdmissionContext, model: ModelQueue): boolean {
  const {state, tools, now} = context;
  const waiting = listWaiting(model.queue);
  if (waiting.length === 0) return false;
  if (state.running.size >= tools.options.maxRunning) return false;
  let isFull = false;
  for (const held of waiting) {
    const share = state.limits.shares.get(held.account);
    if (share === undefined) continue;
    updateShare(share, now, tools.limitOptions);
    if (share.limitTokens <= 0) continue;
    const isWithin = isWithinFairRate(context, held.account);
    const isSpareUsed = isFull || state.limits.spareTokens <= 0;
    if (!isWithin && isSpareUsed) continue;
    const gate = startIfOpen(context, model, held, share, isWithin);
    if (gate === Gate.Started || gate === Gate.Refused) return true;
    if (isWithin) break;
    isFull = true;
  }
  model.pausedUntil = now + tools.options.pauseMilliseconds;
  return false;
}

enum Gate {
  Closed,
  Refused,
  Started,
}

function startIfOpen(
  context: AdmissionContext,
  model: ModelQueue,
  held: AccountQueue,
  share: AccountShare,
  isWithin: boolean,
): Gate {
  const {tools, now, random} = context;
  const {work} = held.entries[0]!;
  const planned = tools.planChain(work.query, now, random);
  if (planned.isErr) {
    refuseQueued(context, model, held, held.entries[0]!, RefusalReason.NoChain);
    return Gate.Refused;
  }
  const plan = planned.value;
  model.firstTokenMilliseconds = plan.firstTokenAt - now;
  const {policy} = tools;
  model.gapMilliseconds = Math.min(
    plan.tokenGapMilliseconds,
    policy.gapMilliseconds,
  );
  const gap = isWithin ? policy.gapMilliseconds : policy.spareGapMilliseconds;
  if (plan.tokenGapMilliseconds > gap) return Gate.Closed;
  const fullness = isWithin ? policy.fullness : policy.spareFullness;
  if (plan.reason.fullness > fullness) return Gate.Closed;
  if (plan.reason.waitMilliseconds > policy.engineWaitMilliseconds) {
    return Gate.Closed;
  }
  if (plan.finishAt > work.query.deadline) {
    const reason = RefusalReason.DeadlineTooSoon;
    refuseQueued(context, model, held, held.entries[0]!, reason);
    return Gate.Refused;
  }
  if (!isWithin) context.state.limits.spareTokens -= work.query.tokensLeft;
  startWork(context, model, held, share, plan);
  return Gate.Started;
}

function startWork(
  context: AdmissionContext,
  model: ModelQueue,
  held: AccountQueue,
  share: AccountShare,
  plan: ChainPlan,
): void {
  const {state, tools, now, commands, logEvents} = context;
  const {work} = takeFirst(model.queue, held);
  const tokens = work.query.tokensLeft;
  takeTokens(share, tokens);
  addToRate(model.drain, tokens, now, tools.options.drainMemoryMilliseconds);
  state.queued.delete(work.request);
  state.queuedBytes -= work.bytes;
  state.running.set(work.request, {work, tokensDelivered: 0, replacements: 0});
  recordFreshWork(state, work);
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

/** Refuses what waits past its latest start, or would. */
function refuseLate(
  context: AdmissionContext,
  model: ModelQueue,
  isArrival: boolean,
): void {
  const {now} = context;
  for (const held of listWaiting(model.queue)) {
    for (const entry of [...held.entries]) {
      const isLate = isPast(entry.latestStartAt, now);
      const isHopeless =
        isArrival &&
        entry.arrivedAt === now &&
        now + predictWait(context, model, entry) > entry.latestStartAt;
      if (!isLate && !isHopeless) continue;
      const reason = pickReason(context, entry);
      refuseQueued(context, model, held, entry, reason);
    }
  }
}

function pickReason(
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
  return share.isModest || share.fairTokens > 0;
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
  return toDrainMilliseconds(context, model, ahead);
}

function toDrainMilliseconds(
  context: AdmissionContext,
  model: ModelQueue,
  tokens: number,
): number {
  if (tokens === 0) return 0;
  const memory = context.tools.options.drainMemoryMilliseconds;
  const rate = readRate(model.drain, context.now, memory);
  const least = computeLeastDrain(context);
  return (tokens * millisecondsPerSecond) / Math.max(rate, least);
}

/** The drain that is believed in before any was seen. */
function computeLeastDrain(context: AdmissionContext): number {
  const {state, tools, now} = context;
  const vms = state.limits.peers.size + 1;
  return Math.max(1, tools.readCapacity(now) / vms / 2);
}

function refuseQueued(
  context: AdmissionContext,
  model: ModelQueue,
  held: AccountQueue,
  entry: QueuedWork,
  reason: RefusalReason,
): void {
  const {state} = context;
  const {work} = entry;
  removeEntry(model.queue, held, entry);
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

/** When the queue of now, and this request's tokens, will have drained. */
function computeRetryAt(
  context: AdmissionContext,
  model: ModelQueue,
  work: WorkItem,
): Instant {
  const {tools, now, random} = context;
  const tokens = model.queue.tokens + work.query.tokensLeft;
  const drain = toDrainMilliseconds(context, model, tokens);
  const longest = 10 * tools.options.queueMilliseconds;
  const wait = Math.min(Math.max(drain, leastRetryMilliseconds), longest);
  return now + wait * (1 + 0.5 * random());
}
