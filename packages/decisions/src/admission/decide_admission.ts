import {
  isPast,
  RoutingEvent,
  type LogEvent,
  type RequestId,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {describeChain} from '../routing/choose_chain.js';
import {planReplacement} from '../recovery/plan_replacement.js';
import {takeRetry} from '../retries/retry_budget.js';
import type {Decide, Step} from '../step.js';
import {
  recordDemand,
  recordPeerDemands,
  setAccounts,
  takeTokens,
  updateShares,
} from './account_limits.js';
import {addRefusal, type AdmissionContext} from './admission_context.js';
import {
  makeRepeatedRequestError,
  makeUnknownAccountError,
  type AdmissionError,
} from './errors.js';
import {releaseUnused, removeEntry} from './fair_queue.js';
import {
  AdmissionCommandKind,
  AdmissionEventKind,
  CancelReason,
  RefusalReason,
  type AdmissionCommand,
  type AdmissionEvent,
  type WorkChainLost,
  type WorkItem,
} from './messages.js';
import {takeAccountBudget} from './retry_accounting.js';
import {addWork, runQueue, runQueues} from './run_queue.js';
import type {AdmissionState, AdmissionTools, RunningWork} from './state.js';

const shareUpdateMilliseconds = 250;
const retryPauseMilliseconds = 1000;

/** With fewer running requests, a retry ratio of 0.1 earns less than one retry. */
const lowLoadRequests = 10;

/** Chain replacements per request that such a load allows outside the budget. */
const lowLoadReplacements = 2;

type AdmissionResult = Result<
  Step<AdmissionState, AdmissionCommand>,
  AdmissionError
>;

/** Makes the function that starts, queues, refuses and cancels requests. */
export function makeDecideAdmission(
  tools: AdmissionTools,
): Decide<AdmissionState, AdmissionEvent, AdmissionCommand, AdmissionError> {
  return (state, event, now, random) => {
    const commands: AdmissionCommand[] = [];
    const logEvents: LogEvent[] = [];
    const context = {state, tools, now, random, commands, logEvents};
    return handleEvent(context, event);
  };
}

function handleEvent(
  context: AdmissionContext,
  event: AdmissionEvent,
): AdmissionResult {
  const {state, now} = context;
  switch (event.kind) {
    case AdmissionEventKind.AccountsSet:
      setAccounts(state.limits, event.accounts, now);
      updateLimits(context);
      return makeStep(context);
    case AdmissionEventKind.Arrived:
      return acceptWork(context, event.work);
    case AdmissionEventKind.CallerGone:
      cancelWork(context, event.request, CancelReason.CallerGone);
      return makeStep(context);
    case AdmissionEventKind.ChainLost:
      return resumeWork(context, event);
    case AdmissionEventKind.DigestReceived:
      recordPeerDemands(state.limits, event.digest, now);
      return makeStep(context);
    case AdmissionEventKind.Finished:
      return closeWork(context, event.request);
    case AdmissionEventKind.PeerLost:
      state.limits.peers.delete(event.vm);
      return makeStep(context);
    case AdmissionEventKind.Resumed:
      return addResumed(context, event.work);
    case AdmissionEventKind.Started:
      return makeStep(context);
    case AdmissionEventKind.Tick:
      return handleTick(context);
    case AdmissionEventKind.TokenDelivered: {
      const running = state.running.get(event.request);
      if (running !== undefined) running.tokensDelivered += event.tokens;
      return makeStep(context);
    }
  }
}

function acceptWork(
  context: AdmissionContext,
  work: WorkItem,
): AdmissionResult {
  const {state, tools, now} = context;
  if (state.running.has(work.request) || state.queued.has(work.request)) {
    return Result.err(makeRepeatedRequestError(work.request));
  }
  const share = state.limits.shares.get(work.account);
  if (share === undefined) {
    return Result.err(makeUnknownAccountError(work.account));
  }
  recordDemand(share, work.query.tokensLeft, now, tools.limitOptions);
  if (!addWork(context, work, share)) return makeStep(context);
  runQueue(context, work.query.model, true);
  return makeStep(context);
}

/** Counts a request as running; the VM that it began at admitted it already. */
function addResumed(
  context: AdmissionContext,
  work: WorkItem,
): AdmissionResult {
  const {state, logEvents} = context;
  const {request, account} = work;
  state.running.set(request, {work, tokensDelivered: 0, replacements: 0});
  const share = state.limits.shares.get(account);
  if (share !== undefined) takeTokens(share, work.query.tokensLeft);
  const fields = {request, account};
  logEvents.push({event: RoutingEvent.WorkResumed, fields});
  return makeStep(context);
}

function closeWork(
  context: AdmissionContext,
  request: RequestId,
): AdmissionResult {
  const {state} = context;
  const running = state.running.get(request);
  if (running === undefined) return makeStep(context);
  state.running.delete(request);
  releaseTokens(context, running.work, running.tokensDelivered);
  runQueue(context, running.work.query.model, false);
  return makeStep(context);
}

/** Returns reserved tokens that a request did not use to its account. */
function releaseTokens(
  context: AdmissionContext,
  work: WorkItem,
  tokensDelivered: number,
): void {
  const {state} = context;
  const unused = Math.max(0, work.query.tokensLeft - tokensDelivered);
  const queue = state.models.get(work.query.model)?.queue;
  if (queue !== undefined) releaseUnused(queue, work.account, unused);
  const share = state.limits.shares.get(work.account);
  if (share === undefined) return;
  share.limitTokens += unused;
  share.fairTokens += unused;
}

function cancelWork(
  context: AdmissionContext,
  request: RequestId,
  reason: CancelReason,
): void {
  const {state} = context;
  const running = state.running.get(request);
  if (running !== undefined) {
    state.running.delete(request);
    releaseTokens(context, running.work, running.tokensDelivered);
    addCancel(context, request, reason);
    return;
  }
  const work = state.queued.get(request);
  if (work === undefined) return;
  removeQueued(state, work);
  addCancel(context, request, reason);
}

function addCancel(
  context: AdmissionContext,
  request: RequestId,
  reason: CancelReason,
): void {
  const {commands, logEvents} = context;
  commands.push({kind: AdmissionCommandKind.Cancel, request, reason});
  const fields = {request, reason};
  logEvents.push({event: RoutingEvent.WorkCancelled, fields});
}

/** Removes a waiting request from its queue. */
function removeQueued(state: AdmissionState, work: WorkItem): void {
  state.queued.delete(work.request);
  state.queuedBytes -= work.bytes;
  const queue = state.models.get(work.query.model)?.queue;
  const flow = queue?.accounts.get(work.account);
  if (queue === undefined || flow === undefined) return;
  const entry = flow.entries.find(one => one.work === work);
  if (entry !== undefined) removeEntry(queue, flow, entry);
}

/**
 * Replaces the lost chain of a running request, ahead of all waiting requests
 * and within the retry budgets of the VM and the account.
 */
function resumeWork(
  context: AdmissionContext,
  event: WorkChainLost,
): AdmissionResult {
  const {state, tools, now, random, commands, logEvents} = context;
  const {request} = event;
  const running = state.running.get(request);
  if (running === undefined) return makeStep(context);
  const budget = takeAccountBudget(state, running.work);
  const isWithinBudget =
    tools.canRetry(state.vmRetryBudget) && tools.canRetry(budget);
  const isLowLoad =
    state.running.size < lowLoadRequests &&
    running.replacements < lowLoadReplacements;
  if (!isWithinBudget && !isLowLoad) {
    return refuseChain(context, running, event, RefusalReason.RetryBudget);
  }
  const {query} = running.work;
  const {tokensDelivered} = running;
  const {excluded, keep} = event;
  const lost = {query, tokensDelivered, excluded, keep};
  const planned = planReplacement(lost, tools.planChain, now, random);
  if (planned.isErr) {
    return refuseChain(context, running, event, RefusalReason.NoChain);
  }
  takeRetry(state.vmRetryBudget);
  takeRetry(budget);
  running.replacements += 1;
  const plan = planned.value;
  const kind = AdmissionCommandKind.Start as const;
  commands.push({kind, request, plan, isRetry: true});
  const chain = describeChain(plan.stages);
  const fields = {request, chain, kept: keep.length};
  logEvents.push({event: RoutingEvent.ChainReplaced, fields});
  return makeStep(context);
}

/** Refuses a new chain, and the rest of a request that can't go on without it. */
function refuseChain(
  context: AdmissionContext,
  {work, tokensDelivered}: RunningWork,
  {request, canStay}: WorkChainLost,
  reason: RefusalReason,
): AdmissionResult {
  const {state, now, random, commands} = context;
  const retryAt = now + retryPauseMilliseconds * (1 + random());
  if (canStay === true) {
    const kind = AdmissionCommandKind.Refuse as const;
    commands.push({kind, request, reason, retryAt});
    return makeStep(context);
  }
  state.running.delete(work.request);
  releaseTokens(context, work, tokensDelivered);
  addRefusal(context, work, reason, retryAt);
  return makeStep(context);
}

function handleTick(context: AdmissionContext): AdmissionResult {
  const {state, now} = context;
  if (isPast(state.limits.sharesUpdatedAt + shareUpdateMilliseconds, now)) {
    updateLimits(context);
    cancelExpired(context);
  }
  runQueues(context);
  return makeStep(context);
}

function updateLimits(context: AdmissionContext): void {
  const {state, tools, now} = context;
  const bound = tools.readCapacity(now);
  const capacity = bound * tools.policy.capacityShare;
  const spare = bound * tools.policy.spareShare;
  updateShares(state.limits, capacity, spare, now, tools.limitOptions);
}

function cancelExpired(context: AdmissionContext): void {
  const {state, now} = context;
  for (const [request, running] of state.running) {
    if (!isPast(running.work.query.deadline, now)) continue;
    cancelWork(context, request, CancelReason.DeadlinePassed);
  }
}

function makeStep(context: AdmissionContext): AdmissionResult {
  const {state, commands, logEvents} = context;
  return Result.ok({state, commands, logEvents});
}
