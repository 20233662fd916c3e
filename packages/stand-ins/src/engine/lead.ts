import {
  type EngineProblem,
  EngineRefusal,
  countTextTokens,
  type StageTarget,
  StreamEventKind,
  type StepRequest,
  type StreamEvent,
  type StreamRequest,
  type TokenEvent,
} from '@zinniaspindle/shared';
import type http from 'node:http';
import {sendJson} from '../http/json_client.js';
import {applyTokenFaults} from './engine_faults.js';
import {EngineRefused, makeRefusal} from './engine_refused.js';
import {HeldTokens} from './held_tokens.js';
import {sendStep, type Stage, type StageParts} from './stage.js';
import {countTokens} from './token_text.js';

/** Leads streams: drives each token through the chain and writes it out. */
export class Lead {
  private readonly held = new HeldTokens();

  constructor(
    private readonly parts: StageParts,
    private readonly stage: Stage,
  ) {}

  /** Checks that a stream may start here; throws the refusal. */
  checkStream(stream: StreamRequest): void {
    const {faults, holding, options, sessions} = this.parts;
    const {endpoint} = options;
    sessions.checkAttempt(stream.request, stream.attempt);
    if (faults.leaving) {
      this.parts.records.addRefused(stream.request, stream.attempt);
      const detail = 'the engine is leaving';
      throw makeRefusal(endpoint, EngineRefusal.Leaving, detail);
    }
    if (holding.current?.model !== stream.model) {
      const detail = `model ${stream.model} is not loaded`;
      throw makeRefusal(endpoint, EngineRefusal.ModelNotLoaded, detail);
    }
    if (stream.chain.at(-1)?.endpoint !== endpoint) {
      const detail = `${endpoint} is not the last stage of the chain`;
      throw makeRefusal(endpoint, EngineRefusal.WrongLayers, detail);
    }
    if (stream.goesOn === true && !this.held.has(stream.request)) {
      const detail = `no stream of request ${stream.request} is held`;
      throw makeRefusal(endpoint, EngineRefusal.UnknownStream, detail);
    }
  }

  /** Runs a stream to its end and writes its events to the response. */
  async runStream(
    stream: StreamRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    const abort = new AbortController();
    response.on('close', () => abort.abort());
    response.writeHead(200, {'content-type': 'application/x-ndjson'});
    response.flushHeaders();
    this.parts.records.addStream(stream.request, stream.attempt);
    try {
      await this.streamTokens(stream, response, abort.signal);
    } catch (error) {
      this.cancelStages(stream);
      await writeEvent(response, this.makeFailed(stream, error));
    }
    response.end();
  }

  private async streamTokens(
    stream: StreamRequest,
    response: http.ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const {request, attempt} = stream;
    const tokens = countTokens(stream.generation);
    const resumed = await this.writeHeld(stream, response);
    const first = resumed.given.length;
    for (let index = first; index < tokens; index += 1) {
      const event = await this.runToken(resumed, index, signal);
      this.held.add(event);
      for (const sent of applyTokenFaults(this.parts.faults, event)) {
        await writeEvent(response, sent);
      }
      signal.throwIfAborted();
    }
    await writeEvent(response, {
      kind: StreamEventKind.End,
      request,
      attempt,
      tokens,
    });
  }

  /** Sends held tokens again; returns the stream with them as given. */
  private async writeHeld(
    stream: StreamRequest,
    response: http.ServerResponse,
  ): Promise<StreamRequest> {
    const {request, attempt} = stream;
    this.held.start(request, stream.goesOn === true);
    const given = [...stream.given];
    for (const token of this.held.list(request)) {
      if (token.index !== given.length) continue;
      given.push(token.text);
      await writeEvent(response, {...token, attempt});
    }
    return {...stream, given};
  }

  private async runToken(
    stream: StreamRequest,
    index: number,
    signal: AbortSignal,
  ): Promise<TokenEvent> {
    const [target, ...forward] = stream.chain;
    const step = makeStep(stream, index, target!, forward);
    const isOwn = target!.endpoint === this.parts.options.endpoint;
    const {output, receipts} = isOwn
      ? await this.stage.runStep(step, signal)
      : await sendStep(this.parts, target!, step, signal);
    const {request, attempt} = stream;
    const kind = StreamEventKind.Token;
    return {kind, request, attempt, index, text: output, receipts};
  }

  private cancelStages(stream: StreamRequest): void {
    const {agent, options, sessions} = this.parts;
    sessions.cancelBelow(stream.request, stream.attempt + 1);
    const request = encodeURIComponent(stream.request);
    const path = `/v1/streams/${request}?attempt=${stream.attempt}`;
    for (const {address, endpoint} of stream.chain) {
      if (endpoint === options.endpoint) continue;
      // A stage that does not hear it ends the stream when it is idle.
      sendJson({address, method: 'DELETE', path, agent}).catch(() => undefined);
    }
  }

  private makeFailed(stream: StreamRequest, error: unknown): StreamEvent {
    const problem: EngineProblem =
      error instanceof EngineRefused
        ? error.problem
        : {
            reason: EngineRefusal.Cancelled,
            detail: String(error),
            endpoint: this.parts.options.endpoint,
          };
    const {request, attempt} = stream;
    return {kind: StreamEventKind.Failed, request, attempt, ...problem};
  }
}

function makeStep(
  stream: StreamRequest,
  index: number,
  target: StageTarget,
  forward: readonly StageTarget[],
): StepRequest {
  const {request, attempt, model, priority, deadline, generation} = stream;
  const isFirst = index === stream.given.length;
  const context = isFirst ? generation.prompt + stream.given.join('') : '';
  return {
    ...{request, attempt, index, model, priority, deadline, context, forward},
    layers: target.layers,
    prefillTokens: countTextTokens(context),
    activation: '',
    ...(isFirst ? {generation} : {}),
  };
}

async function writeEvent(
  response: http.ServerResponse,
  event: StreamEvent,
): Promise<void> {
  if (response.destroyed) return;
  if (response.write(`${JSON.stringify(event)}\n`)) return;
  await new Promise<void>(resolve => {
    const handleReady = () => {
      response.off('drain', handleReady);
      response.off('close', handleReady);
      resolve();
    };
    response.on('drain', handleReady);
    response.on('close', handleReady);
  });
}
