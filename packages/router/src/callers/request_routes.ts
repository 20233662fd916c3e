import {
  createRequestState,
  hashTokens,
  RequestEventKind,
} from '@zinniaspindle/decisions';
import type {FinishRequest, CallerPrefix} from '@zinniaspindle/decisions';
import {FinalAnswer, toId} from '@zinniaspindle/shared';
import type {
  AccountObject,
  Instant,
  PipelineName,
  PipelineObject,
  RequestId,
} from '@zinniaspindle/shared';
import {requestIdHeader} from '../http/open_calls.js';
import {readJsonBody} from '../http/read_body.js';
import type {Route, RouteCall} from '../http/route_table.js';
import type {RequestListener, RequestRun} from '../requests/request_runner.js';
import type {RequestTable} from '../requests/request_table.js';
import {makeAnswerProblem} from './answer_problem.js';
import {readAccount} from './authenticate.js';
import type {FindAccount} from './authenticate.js';
import {CallerError, CallerErrorCode, makeFieldError} from './errors.js';
import {readFormat, readLastEventId, readRequestSpec} from './read_request.js';
import type {DeadlineLimits} from './read_request.js';
import {AnswerFormat, TokenWriter} from './token_writer.js';

/** What the request routes need from the rest of the VM. */
export interface RequestRoutePorts {
  readonly table: RequestTable;
  readonly findAccount: FindAccount;
  /** Finds a pipeline that an account may use. */
  readonly findPipeline: (
    name: PipelineName,
    account: AccountObject,
  ) => PipelineObject | undefined;
  /** Throws a CallerError when the VM takes no new work. */
  readonly checkReady: () => void;
  /** Takes a request over from another VM; undefined when none knows it. */
  readonly resumeRequest: (
    id: RequestId,
    account: AccountObject,
    held: CallerPrefix | undefined,
  ) => Promise<RequestRun | undefined>;
  readonly getNow: () => Instant;
  readonly maxBodyBytes: number;
  readonly deadlines: DeadlineLimits;
  readonly coalesceMilliseconds: number;
  /** Milliseconds that a streaming caller has to reconnect. */
  readonly reconnectMilliseconds: number;
}

const noContent = 204;

/** Builds the routes through which callers send, resume and cancel requests. */
export function buildRequestRoutes(ports: RequestRoutePorts): Route[] {
  const routes = new RequestRoutes(ports);
  return [
    {
      method: 'POST',
      path: '/v1/pipelines/{name}/requests',
      handle: call => routes.acceptRequest(call),
    },
    {
      method: 'GET',
      path: '/v1/requests/{id}',
      handle: call => routes.resumeAnswer(call),
    },
    {
      method: 'DELETE',
      path: '/v1/requests/{id}',
      handle: call => routes.cancelRequest(call),
    },
  ];
}

class RequestRoutes {
  constructor(private readonly ports: RequestRoutePorts) {}

  async acceptRequest(call: RouteCall): Promise<void> {
    const {ports} = this;
    const {request} = call;
    const account = this.getAccount(call);
    const pipeline = this.getPipeline(call, account);
    const format = readFormat(request);
    const body = await readJsonBody(request, {maxBytes: ports.maxBodyBytes});
    if (body.isErr) throw body.error;
    const now = ports.getNow();
    const {deadlines} = ports;
    const spec = readRequestSpec(
      ...([request, body.value, account, pipeline, deadlines, now] as const),
    );
    ports.checkReady();
    if (ports.table.find(spec.id) !== undefined) {
      throw new CallerError(
        CallerErrorCode.Conflict,
        `request "${spec.id}" exists; GET /v1/requests/${spec.id} goes on with it`,
        'x-request-id',
        spec.id,
      );
    }
    const run = ports.table.add(createRequestState(spec, now));
    this.addCaller(call, run, format, undefined);
    run.start();
  }

  async resumeAnswer(call: RouteCall): Promise<void> {
    const account = this.getAccount(call);
    const held = readLastEventId(call.request);
    const id = toId<RequestId>(call.params[0]!);
    const known = this.ports.table.find(id);
    const run = known ?? (await this.ports.resumeRequest(id, account, held));
    if (run === undefined || run.state.spec.account !== account.name) {
      throw this.makeUnknownError(id);
    }
    checkHeld(run, held);
    // A VM that stops has answered; the record of the request stays at peers.
    if (call.response.headersSent) return;
    this.addCaller(call, run, readFormat(call.request), held);
  }

  cancelRequest(call: RouteCall): void {
    const account = this.getAccount(call);
    const id = toId<RequestId>(call.params[0]!);
    const run = this.ports.table.find(id);
    if (run === undefined || run.state.spec.account !== account.name) {
      throw this.makeUnknownError(id);
    }
    run.send({kind: RequestEventKind.CallerGone});
    call.response.writeHead(noContent).end();
  }

  private addCaller(
    call: RouteCall,
    run: RequestRun,
    format: AnswerFormat,
    held: CallerPrefix | undefined,
  ): void {
    const {response} = call;
    const {spec, delivered: given} = run.state;
    response.setHeader(requestIdHeader, spec.id);
    const writer = new TokenWriter(
      ...([response, format, spec.id, given, held] as const),
      this.ports.coalesceMilliseconds,
    );
    let isOpen = !response.destroyed;
    const listener = {
      handleToken: () => writer.addToken(),
      handleFinish: (finish: FinishRequest) =>
        sendFinal(writer, spec.id, finish),
      handleRelease: () => writer.closeUnfinished(),
      isOpen: () => isOpen,
      canReconnect: format !== AnswerFormat.Json,
    };
    run.setListener(listener);
    writer.addToken();
    response.on('close', () => {
      isOpen = false;
      if (response.writableFinished) return;
      this.handleCallerGone(run, format, listener);
    });
  }

  /** A streaming caller may reconnect; a caller of JSON cannot. */
  private handleCallerGone(
    run: RequestRun,
    format: AnswerFormat,
    listener: RequestListener,
  ): void {
    const cancel = () => {
      if (!run.hasListener(listener)) return;
      run.setListener(undefined);
      run.send({kind: RequestEventKind.CallerGone});
    };
    if (format === AnswerFormat.Json) cancel();
    else setTimeout(cancel, this.ports.reconnectMilliseconds).unref();
  }

  private getAccount(call: RouteCall): AccountObject {
    const account = readAccount(call.request, this.ports.findAccount);
    if (account.isErr) throw account.error;
    return account.value;
  }

  private getPipeline(call: RouteCall, account: AccountObject): PipelineObject {
    const name = toId<PipelineName>(call.params[0]!);
    const pipeline = this.ports.findPipeline(name, account);
    if (pipeline !== undefined) return pipeline;
    throw new CallerError(
      CallerErrorCode.NotFound,
      `client account "${account.name}" has no pipeline "${name}"`,
      'pipeline',
      name,
    );
  }

  private makeUnknownError(id: RequestId): CallerError {
    return new CallerError(
      CallerErrorCode.NotFound,
      `request "${id}" is not known, or is over`,
      'request',
      id,
    );
  }
}

/** What the caller has must be what this VM gave, as far as it goes. */
function checkHeld(run: RequestRun, held: CallerPrefix | undefined): void {
  if (held === undefined) return;
  const {delivered: given} = run.state;
  if (given.length < held.tokens) return;
  if (hashTokens(given.slice(0, held.tokens)) === held.hash) return;
  const value = `${held.tokens - 1}-${held.hash}`;
  throw makeFieldError('last-event-id', value, 'an id of this request');
}

function sendFinal(
  writer: TokenWriter,
  id: RequestId,
  finish: FinishRequest,
): void {
  if (finish.answer === FinalAnswer.Completed) {
    writer.sendCompleted(finish.answer);
    return;
  }
  writer.sendProblem(makeAnswerProblem(`request "${id}"`, finish));
}
