import type http from 'node:http';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {
  describeError,
  FinalAnswer,
  type GenerationParameters,
  type Problem,
  type RequestId,
} from '@zinniaspindle/shared';
import type {
  AnswerObservation,
  RequestObservation,
  TokenObservation,
} from '../ledger/observations.js';
import type {Directory} from './directory.js';
import {openCall, readEvents, readJson} from './entry_calls.js';

const retryMilliseconds = 100;
const graceMilliseconds = 1000;
const statusOk = 200;
const statusNotFound = 404;

/** What a caller asks for. */
export interface RequestPlan {
  readonly name: string;
  readonly request: RequestId;
  readonly pipeline: string;
  readonly generation: GenerationParameters;
  readonly layerCount: number;
  readonly priority: number;
  /** Instant by which the caller wants the whole answer. */
  readonly deadline: number;
  readonly token: string;
}

/** Posts one request and follows its stream over any number of entry VMs. */
export class RequestCaller {
  private readonly tokens: TokenObservation[] = [];
  private readonly answers: AnswerObservation[] = [];
  private abort = new AbortController();
  private isAway = false;
  private hasPosted = false;
  /** Id of the last event, as the entry VM gave it. */
  private lastId = '';

  constructor(
    private readonly plan: RequestPlan,
    private readonly directory: Directory,
    private readonly getElapsed: () => number,
  ) {}

  /** Posts the request; to the directory's choice when via is absent. */
  async runPost(via?: string): Promise<void> {
    const {plan} = this;
    for (let attempt = 0; Date.now() < plan.deadline; attempt += 1) {
      const address = via ?? (await this.directory.pick(attempt));
      const isOver = await this.readAnswer(() => this.openPost(address));
      if (isOver) return;
      // Only a refused connection leaves no doubt that nothing was posted.
      if (this.hasPosted) return this.runResume();
      await waitMilliseconds(retryMilliseconds);
    }
  }

  /** Goes on with the answer after the last token that came. */
  async runResume(via?: string): Promise<void> {
    this.isAway = false;
    const until = this.plan.deadline + graceMilliseconds;
    for (let attempt = 1; Date.now() < until; attempt += 1) {
      const address = via ?? (await this.directory.pick(attempt));
      const isOver = await this.readAnswer(() => this.openResume(address));
      if (isOver) return;
      await waitMilliseconds(retryMilliseconds);
    }
  }

  /** Closes the connection without a word. */
  cancel(): void {
    this.isAway = true;
    this.abort.abort();
  }

  describe(): RequestObservation {
    const {name, request, generation, layerCount} = this.plan;
    const {tokens, answers} = this;
    return {name, request, generation, layerCount, tokens, answers};
  }

  private openPost(address: string): Promise<http.IncomingMessage> {
    const {plan} = this;
    return openCall({
      address,
      method: 'POST',
      path: `/v1/pipelines/${plan.pipeline}/requests`,
      token: plan.token,
      headers: {
        accept: 'text/event-stream',
        'x-request-id': plan.request,
        'x-deadline': String(plan.deadline),
        'x-priority': String(plan.priority),
      },
      body: plan.generation,
      signal: this.abort.signal,
    });
  }

  private openResume(address: string): Promise<http.IncomingMessage> {
    return openCall({
      address,
      method: 'GET',
      path: `/v1/requests/${this.plan.request}`,
      token: this.plan.token,
      headers: {
        accept: 'text/event-stream',
        ...(this.lastId === '' ? {} : {'last-event-id': this.lastId}),
      },
      signal: this.abort.signal,
    });
  }

  /** Reads one connection's answer; true when there is nothing more to do. */
  private async readAnswer(
    open: () => Promise<http.IncomingMessage>,
  ): Promise<boolean> {
    this.abort = new AbortController();
    try {
      const response = await open();
      this.hasPosted = true;
      if (response.statusCode === statusOk) await this.readStream(response);
      else await this.readProblem(response);
    } catch (error) {
      const isRefused = describeError(error).includes('ECONNREFUSED');
      if (!isRefused) this.hasPosted = true;
    }
    return this.isAway || this.answers.length > 0;
  }

  private async readStream(response: http.IncomingMessage): Promise<void> {
    for await (const {id, event, data} of readEvents(response)) {
      if (event === 'token') {
        const {text} = JSON.parse(data) as {text: string};
        // The index leads the id; the rest is for the entry VM to read.
        this.tokens.push({index: Number.parseInt(id, 10), text});
        this.lastId = id;
      } else if (event === 'completed') {
        this.addAnswer(FinalAnswer.Completed, '');
      } else if (event === 'problem') {
        const {answer, detail} = JSON.parse(data) as Problem;
        this.addAnswer(answer, detail);
      }
    }
  }

  private async readProblem(response: http.IncomingMessage): Promise<void> {
    const body = await readJson(response);
    // Another entry VM, or this one later, may know the request.
    if (response.statusCode === statusNotFound) return;
    const {answer, detail} = body as Problem;
    this.addAnswer(answer, detail);
  }

  private addAnswer(answer: FinalAnswer, detail: string): void {
    const atMilliseconds = this.getElapsed();
    this.answers.push({answer, detail, atMilliseconds});
  }
}
