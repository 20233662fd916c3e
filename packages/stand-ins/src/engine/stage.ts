import type http from 'node:http';
import {
  type EndpointId,
  type EngineProblem,
  EngineRefusal,
  isPast,
  millisecondsPerSecond,
  prefixBlockCharacters,
  charactersPerToken,
  type StageReceipt,
  type StageTarget,
  type StepRequest,
  type StepResponse,
} from '@zinniaspindle/shared';
import {type JsonReply, sendJson} from '../http/json_client.js';
import {type EngineFaults, takeTokenFault} from './engine_faults.js';
import type {EngineOptions} from './engine_options.js';
import type {EngineRecords} from './engine_records.js';
import {EngineRefused, makeRefusal} from './engine_refused.js';
import type {Holding} from './holding.js';
import type {PrefixCache} from './prefix_cache.js';
import {PrioritySemaphore, type ReleasePlace} from './priority_semaphore.js';
import type {Session, Sessions} from './sessions.js';
import {
  computeInput,
  computeSeed,
  countTokens,
  foldLayers,
  renderToken,
} from './token_text.js';

import {waitMilliseconds} from '../http/wait.js';

const freezePollMilliseconds = 10;
const tokensPerBlock = prefixBlockCharacters / charactersPerToken;

/** What a stage works with. */
export interface StageParts {
  readonly options: EngineOptions;
  readonly faults: EngineFaults;
  readonly records: EngineRecords;
  readonly sessions: Sessions;
  readonly holding: Holding;
  readonly cache: PrefixCache;
  readonly agent: http.Agent;
}

/** Runs the held layers for one token at a time, many streams in a batch. */
export class Stage {
  private readonly slots: PrioritySemaphore;
  private readonly prefills = new PrioritySemaphore(1);
  private waitingPrefillTokens = 0;

  constructor(private readonly parts: StageParts) {
    this.slots = new PrioritySemaphore(parts.options.rates.slots);
  }

  /** Streams that hold a slot. */
  get running(): number {
    return this.slots.taken;
  }

  /** Streams that wait for a slot. */
  get queued(): number {
    return this.slots.waiting;
  }

  /** Prompt tokens that wait for prefill or are in it. */
  get queuedPrefillTokens(): number {
    return this.waitingPrefillTokens;
  }

  /** Runs a step here, and at the stages after where there are any. */
  async runStep(step: StepRequest, signal: AbortSignal): Promise<StepResponse> {
    await this.waitWhileFrozen(signal);
    this.parts.sessions.checkAttempt(step.request, step.attempt);
    const session = this.openSession(step);
    const both = AbortSignal.any([signal, session.abort.signal]);
    await session.ready;
    await waitMilliseconds(this.predictStep(), both);
    await this.waitWhileFrozen(both);
    both.throwIfAborted();
    const own = this.computeStep(step, session);
    session.idleUntil = Date.now() + this.parts.options.idleMilliseconds;
    if (step.index + 1 === session.tokenCount) {
      this.parts.sessions.close(session);
    }
    return this.sendForward(step, own, both);
  }

  private async waitWhileFrozen(signal: AbortSignal): Promise<void> {
    while (this.parts.faults.freeze) {
      await waitMilliseconds(freezePollMilliseconds, signal);
    }
  }

  private predictStep(): number {
    const {stepMilliseconds, stepMillisecondsPerStream} =
      this.parts.options.rates;
    const others = Math.max(0, this.running - 1);
    return stepMilliseconds + stepMillisecondsPerStream * others;
  }

  private openSession(step: StepRequest): Session {
    const {sessions} = this.parts;
    const known = sessions.get(step.request, step.attempt);
    if (known !== undefined) {
      this.checkLayers(step, known);
      return known;
    }
    const session = this.makeSession(step);
    this.checkLayers(step, session);
    sessions.add(session);
    session.ready = this.startSession(session, step);
    // Awaited by the step that opened the session, which may have gone.
    session.ready.catch(() => sessions.close(session));
    return session;
  }

  private makeSession(step: StepRequest): Session {
    this.checkNewStream(step);
    const {generation} = step;
    const held = this.parts.holding.current!;
    const model = this.parts.options.models.find(m => m.name === held.model);
    return {
      request: step.request,
      attempt: step.attempt,
      deadline: step.deadline,
      abort: new AbortController(),
      held: held.layers,
      layerCount: model?.layerCount ?? held.layers.end,
      tokenCount: generation && countTokens(generation),
      seed: generation === undefined ? '' : computeSeed(generation),
      ready: Promise.resolve(),
      release: () => undefined,
      idleUntil: step.deadline,
    };
  }

  private checkNewStream(step: StepRequest): void {
    const {faults, holding, options} = this.parts;
    if (faults.leaving) {
      this.parts.records.addRefused(step.request, step.attempt);
      throw this.makeRefusal(EngineRefusal.Leaving, 'the engine is leaving');
    }
    if (holding.current?.model !== step.model) {
      const detail = `model ${step.model} is not loaded`;
      throw this.makeRefusal(EngineRefusal.ModelNotLoaded, detail);
    }
    if (step.context === '' && step.generation === undefined) {
      const detail = `attempt ${step.attempt} of request ${step.request} has not begun here`;
      throw this.makeRefusal(EngineRefusal.UnknownStream, detail);
    }
    if (isPast(step.deadline, Date.now())) {
      const detail = `deadline ${step.deadline} has passed`;
      throw this.makeRefusal(EngineRefusal.DeadlinePassed, detail);
    }
    if (this.queued >= options.queueLimit) {
      const detail = `${this.queued} streams wait already`;
      throw this.makeRefusal(EngineRefusal.Overloaded, detail);
    }
  }

  private checkLayers(step: StepRequest, session: Session): void {
    const {first, end} = step.layers;
    const {held} = session;
    if (first >= held.first && end <= held.end && first < end) return;
    const detail = `layers [${first},${end}) are not within [${held.first},${held.end})`;
    throw this.makeRefusal(EngineRefusal.WrongLayers, detail);
  }

  private async startSession(
    session: Session,
    step: StepRequest,
  ): Promise<void> {
    const {signal} = session.abort;
    const tokens = this.countPrefillTokens(step);
    this.waitingPrefillTokens += tokens;
    let releasePrefill: ReleasePlace = () => undefined;
    try {
      session.release = await this.slots.take(step.priority, signal);
      releasePrefill = await this.prefills.take(step.priority, signal);
      const rate = this.parts.options.rates.prefillTokensPerSecond;
      const milliseconds = (tokens / rate) * millisecondsPerSecond;
      if (tokens > 0) await waitMilliseconds(milliseconds, signal);
    } finally {
      releasePrefill();
      this.waitingPrefillTokens -= tokens;
    }
    session.idleUntil = Date.now() + this.parts.options.idleMilliseconds;
  }

  private countPrefillTokens(step: StepRequest): number {
    if (step.prefillTokens === 0 || step.context === '') {
      return step.prefillTokens;
    }
    const hits = this.parts.cache.addContext(step.context, Date.now());
    return Math.max(0, step.prefillTokens - hits * tokensPerBlock);
  }

  private computeStep(step: StepRequest, session: Session): StepResponse {
    const {faults, options, records} = this.parts;
    const isSkipping = takeTokenFault(faults, 'skipLayerAt', step.index);
    const layers = {
      first: step.layers.first,
      end: step.layers.end - (isSkipping ? 1 : 0),
    };
    const input =
      layers.first === 0
        ? computeInput(session.seed, step.index)
        : step.activation;
    const folded = foldLayers(input, layers);
    records.addStep(step.request, step.attempt, step.index);
    const receipt: StageReceipt = {
      endpoint: options.endpoint,
      layers,
      attempt: step.attempt,
    };
    const isLast = step.layers.end === session.layerCount;
    const output = isLast ? renderToken(folded) : folded;
    const last = isLast && step.index + 1 === session.tokenCount;
    return {output, receipts: [receipt], ...(last ? {last} : {})};
  }

  private async sendForward(
    step: StepRequest,
    own: StepResponse,
    signal: AbortSignal,
  ): Promise<StepResponse> {
    const [next, ...forward] = step.forward;
    if (next === undefined) return own;
    const {forwardDelayMilliseconds: delay} = this.parts.faults;
    if (delay > 0) await waitMilliseconds(delay, signal);
    const passed = {
      ...step,
      layers: next.layers,
      activation: own.output,
      forward,
    };
    const response = await sendStep(this.parts, next, passed, signal);
    const receipts = [...own.receipts, ...response.receipts];
    return {...response, receipts};
  }

  private makeRefusal(reason: EngineRefusal, detail: string): EngineRefused {
    return makeRefusal(this.parts.options.endpoint, reason, detail);
  }
}

/** Sends a step to another engine; throws its refusal, or that it is lost. */
export async function sendStep(
  parts: StageParts,
  target: StageTarget,
  step: StepRequest,
  signal: AbortSignal,
): Promise<StepResponse> {
  const {agent} = parts;
  const {address, endpoint} = target;
  let reply: JsonReply;
  try {
    reply = await sendJson({
      address,
      method: 'POST',
      path: '/v1/steps',
      body: step,
      agent,
      signal,
    });
  } catch (error) {
    signal.throwIfAborted();
    throw makeLost(endpoint, String(error));
  }
  if (reply.status === 200) return reply.body as StepResponse;
  const problem = reply.body as Partial<EngineProblem> | undefined;
  if (problem?.reason === undefined) {
    throw makeLost(endpoint, `status ${reply.status} from ${address}`);
  }
  throw new EngineRefused(problem as EngineProblem);
}

function makeLost(endpoint: EndpointId, detail: string): EngineRefused {
  return makeRefusal(endpoint, EngineRefusal.StageLost, detail);
}
