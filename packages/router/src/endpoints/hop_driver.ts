import http from 'node:http';
import {StreamEventKind} from '@zinniaspindle/shared';
import type {
  EngineProblem,
  StageReceipt,
  StageTarget,
  StepRequest,
  StepResponse,
  StreamRequest,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {HttpErrorCode} from '../http/errors.js';
import type {HttpError} from '../http/errors.js';
import {runExchange} from '../http/exchange.js';
import type {ExchangeAnswer} from '../http/exchange.js';
import {EndpointError, EndpointErrorCode} from './errors.js';
import {findRefusal} from './find_refusal.js';
import type {DriverListener, TokenDriver} from './token_driver.js';

const statusOk = 200;

/** Counts the tokens of a prompt, roughly. */
export type CountTokens = (text: string) => number;

/**
 * Makes the driver for engines that do not forward: the router carries the
 * activation from stage to stage, one exchange a stage and token.
 */
export function makeHopDriver(countTokens: CountTokens): TokenDriver {
  return (request, listener) => {
    const run = new HopRun(countTokens, request, listener);
    void run.runTokens();
    return () => run.stop();
  };
}

interface HopOutput {
  readonly text: string;
  readonly receipts: readonly StageReceipt[];
  readonly last: boolean;
}

class HopRun {
  private over = false;
  private someStageRan = false;
  private context: string;
  /**
   * Connections of this run alone: an answer to a step names no request, so on
   * one that others used it may be theirs.
   */
  private readonly agent = new http.Agent({keepAlive: true, noDelay: true});

  constructor(
    private readonly countTokens: CountTokens,
    private readonly request: StreamRequest,
    private readonly listener: DriverListener,
  ) {
    this.context = request.generation.prompt + request.given.join('');
  }

  stop(): void {
    this.over = true;
  }

  async runTokens(): Promise<void> {
    try {
      await this.streamTokens();
    } finally {
      this.agent.destroy();
    }
  }

  private async streamTokens(): Promise<void> {
    const {request, attempt, generation, given} = this.request;
    let index = given.length;
    while (index < generation.maxTokens && !this.over) {
      const output = await this.runStages(index, index === given.length);
      if (this.over) return;
      if (output.isErr) {
        this.over = true;
        this.listener.handleError(output.error);
        return;
      }
      const {text, receipts, last} = output.value;
      const kind = StreamEventKind.Token;
      const token = {kind, request, attempt, index, text, receipts} as const;
      this.listener.handleEvent(token);
      this.context += text;
      index += 1;
      if (last) break;
    }
    if (this.over) return;
    this.over = true;
    const kind = StreamEventKind.End;
    this.listener.handleEvent({kind, request, attempt, tokens: index});
  }

  private async runStages(
    index: number,
    isFirst: boolean,
  ): Promise<Result<HopOutput, EndpointError>> {
    let activation = '';
    let last = false;
    const receipts: StageReceipt[] = [];
    for (const stage of this.request.chain) {
      const step = await this.runStage(stage, index, isFirst, activation);
      if (step.isErr) return Result.err(step.error);
      this.someStageRan = true;
      activation = step.value.output;
      receipts.push(...step.value.receipts);
      last = step.value.last ?? false;
    }
    return Result.ok({text: activation, receipts, last});
  }

  private async runStage(
    stage: StageTarget,
    index: number,
    isFirst: boolean,
    activation: string,
  ): Promise<Result<StepResponse, EndpointError>> {
    const {request, attempt, model, priority, deadline} = this.request;
    const body: StepRequest = {
      ...{request, attempt, index, model, priority, deadline},
      layers: stage.layers,
      context: this.context,
      prefillTokens: isFirst ? this.countTokens(this.context) : 0,
      activation,
      forward: [],
      ...(isFirst ? {generation: this.request.generation} : {}),
    };
    const answer = await runExchange({
      address: stage.address,
      method: 'POST',
      path: '/v1/steps',
      body,
      deadline,
      agent: this.agent,
    });
    if (answer.isErr) return Result.err(this.translateError(answer.error));
    return this.readStep(stage, answer.value);
  }

  private readStep(
    stage: StageTarget,
    answer: ExchangeAnswer,
  ): Result<StepResponse, EndpointError> {
    if (answer.status === statusOk) {
      return Result.ok(answer.body as StepResponse);
    }
    const problem = answer.body as EngineProblem | undefined;
    const reason = findRefusal(problem);
    const detail = problem?.detail ?? `status ${answer.status}`;
    const message = `endpoint ${stage.endpoint}: ${detail}`;
    const code =
      reason !== undefined && !this.someStageRan
        ? EndpointErrorCode.NotAccepted
        : EndpointErrorCode.Broken;
    return Result.err(new EndpointError(code, message, reason));
  }

  private translateError(error: HttpError): EndpointError {
    const isUntouched =
      error.code === HttpErrorCode.NotConnected && !this.someStageRan;
    const code = isUntouched
      ? EndpointErrorCode.NotAccepted
      : EndpointErrorCode.Broken;
    return new EndpointError(code, error.message, undefined, error);
  }
}
