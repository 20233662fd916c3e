import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {
  AnswerSize,
  computeStopRetryDelay,
  findTakeGrounds,
  IntakeSource,
  Listener,
  type StopPlan,
} from '@zinniaspindle/decisions';
import {
  GatewayEvent,
  type Address,
  type Deadline,
  type Instant,
} from '@zinniaspindle/shared';
import type {
  BoundedServer,
  BuildServer,
  ServerCall,
} from '../connections/bounded_server.js';
import {Counter} from '../log/metrics.js';
import {
  RouteKind,
  type CallerRequest,
  type Configuration,
  type Route,
} from '../ports/index.js';
import {checkHead, checkStart, describeBodyFailure} from './check_head.js';
import {FailureReason, type LocalAnswer} from './failure.js';
import {
  ClosedBy,
  countUnwrittenBytes,
  OpenRequests,
  type OpenRequest,
} from './open_requests.js';
import {PlainRequestHandler} from './plain_request_handler.js';
import {hasLeft} from './has_left.js';
import {readBody} from './read_body.js';
import type {RequestContext, ServerContext} from './request_context.js';
import {listTraits, RequestHash} from './request_hash.js';
import {pickTarget, RouteIndex} from './route_index.js';
import {getDurationLatency} from './send_answer.js';
import {StreamRequestHandler} from './stream_request_handler.js';

/** The longest request line, in bytes, beside the headers that are allowed. */
const maxLineBytes = 8 * 1024;
const startupRetryMilliseconds = 500;
/** Time to read the requests that have arrived when connections are closed. */
const readMilliseconds = 50;
/** For a request that waited behind another answer until its deadline. */
const behindAnswer: LocalAnswer = {
  status: 503,
  reason: FailureReason.BehindAnswer,
  retryAfterMilliseconds: 0,
};

/** For a request that has no socket for a connection to an endpoint. */
const socketsTooMany: LocalAnswer = {
  status: 503,
  reason: FailureReason.SocketsTooMany,
  retryAfterMilliseconds: 500,
};

/**
 * The HTTP server for callers: finds the route, checks the key, reads the body.
 */
export class CallerServer {
  private readonly server: BoundedServer;
  private routes: RouteIndex | undefined;
  private readonly openRequests = new OpenRequests();
  private isClosing = false;

  constructor(
    private readonly context: ServerContext,
    buildServer: BuildServer,
  ) {
    this.server = buildServer(Listener.Callers, {
      handleCall: call => this.accept(call),
      handleConnection: socket => this.openRequests.addConnection(socket),
      handleReadEnd: socket => this.openRequests.closeConnection(socket),
      countFurtherSockets: () => this.openRequests.countPassedOn(),
    });
  }

  /** Starts listening. */
  open(address: Address): Promise<void> {
    return this.server.open(address);
  }

  /** Applies a configuration to the requests that arrive from now on. */
  applyConfiguration(configuration: Configuration): void {
    this.routes = new RouteIndex(configuration);
    const {limits} = configuration;
    this.server.setTimeouts(
      limits.headerTimeoutMilliseconds,
      limits.idleTimeoutMilliseconds,
    );
    this.server.setBounds({
      maxHeadBytes: limits.maxHeaderBytes + maxLineBytes,
      maxLeftBytes: limits.maxBodyBytes,
    });
  }

  /** Closes connections of callers that leave too much of their answers unread. */
  closeUnread(): void {
    this.server.closeUnread();
  }

  /** Counts the requests in flight. */
  countInFlight(): number {
    return this.openRequests.count();
  }

  /** Lists the ids of the requests in flight. */
  listInFlight(): string[] {
    return this.openRequests.list().map(({attemptId}) => attemptId);
  }

  /** Refuses the requests that arrive from now on, and closes the listener. */
  async closeListener(): Promise<void> {
    this.isClosing = true;
    await waitMilliseconds(readMilliseconds);
    this.server.closeListener();
  }

  /** Ends each connection that has no open request, after it was read once more. */
  async closeIdle(): Promise<void> {
    await waitMilliseconds(1);
    this.openRequests.closeIdle();
  }

  /**
   * Answers each request whose caller has got nothing yet, since the process
   * exits: not run, or an unknown outcome.
   */
  answerRest(): void {
    for (const open of this.openRequests.list()) {
      if (!open.response.headersSent) open.answerNow();
    }
  }

  /** Logs each request that the exit of the process cuts off. */
  logCutOff(): void {
    const {context} = this;
    const now = context.getNow();
    for (const open of this.openRequests.list()) {
      const age = now - open.receivedAt;
      context.metrics.count(Counter.CutOff);
      context.writeEvent(GatewayEvent.RequestCutOff, {
        request: open.attemptId,
        path: open.path,
        ms: Math.round(age),
        afterStopMs: Math.round(computeStopAge(context) - age),
        isEndpointDone: open.response.writableEnded,
        unwrittenBytes: countUnwrittenBytes(open),
        ...open.describeProgress(),
      });
    }
  }

  /** Closes the listener and all connections; no request may be in flight. */
  close(): void {
    this.server.close();
  }

  private accept(call: ServerCall): void {
    const {response} = call;
    const open = this.openRequests.add(response, this.context.getNow());
    if (open !== undefined) void this.handle(call, open);
    else this.server.dropRest(response.req.socket);
  }

  private async handle(call: ServerCall, open: OpenRequest): Promise<void> {
    const {message, askBody} = call;
    const {response, receivedAt} = open;
    this.context.metrics.count(Counter.Requests);
    const request = this.context.codec.decodeRequest(message);
    open.attemptId = request.attemptId;
    open.path = request.path;
    const refuse = (answer: LocalAnswer) => {
      this.refuse(request, open, answer);
    };
    response.on('error', () => undefined); // A close event follows.
    const startFailure = checkStart(call);
    if (startFailure !== undefined) return refuse(startFailure);
    const found = this.findService(request);
    if ('status' in found) return refuse(found);
    const {limits} = found.configuration;
    const headFailure = checkHead(message, limits);
    if (headFailure !== undefined) return refuse(headFailure);
    open.answerNow = () => {
      const plan = this.context.findStopPlan();
      if (plan === undefined) return;
      refuse(this.describeStop(plan, this.context.getNow()));
    };
    const {route, service, account} = found;
    open.canBreakOff = this.findAnswerSize(route) !== AnswerSize.Small;
    const method = message.method ?? 'GET';
    const hash = new RequestHash(method, request, account?.name);
    const timeout = Math.min(
      request.timeoutMilliseconds ?? Infinity,
      route.timeoutMilliseconds,
    );
    const deadline = receivedAt + timeout;
    const held = this.context.intake.open(IntakeSource.Callers);
    open.releaseBody = () => held.release();
    askBody();
    const body = await readBody(message, {
      maxBytes: limits.maxBodyBytes,
      idleMilliseconds: limits.idleTimeoutMilliseconds,
      leftMilliseconds: deadline - this.context.getNow(),
      held,
      handleChunk: chunk => hash.addBody(chunk),
    });
    if (body === undefined || response.writableEnded) return held.release();
    if (body.isErr) return refuse(describeBodyFailure(body.error));
    const left = deadline - this.context.getNow();
    await this.openRequests.waitForTurn(open, left);
    if (await hasLeft(message.socket)) return;
    if (response.writableEnded) return;
    if (!this.openRequests.hasTurn(open)) return refuse(behindAnswer);
    const stopFailure = this.checkStop(open, route, deadline);
    if (stopFailure !== undefined) return refuse(stopFailure);
    if (!this.server.makeRoom()) return refuse(socketsTooMany);
    this.openRequests.recordPassedOn(open);
    await serveRequest({
      server: this.context,
      request,
      traits: listTraits(request, hash.computeDigests()),
      method,
      body: body.value,
      route,
      service,
      account,
      response,
      open,
      closeAfter: () => this.openRequests.closeAfter(open),
      receivedAt,
      deadline,
      refuse,
    });
  }

  private findService(request: CallerRequest):
    | LocalAnswer
    | (Pick<RequestContext, 'route' | 'service' | 'account'> & {
        configuration: Configuration;
      }) {
    const {routes} = this;
    if (routes === undefined) {
      return {
        status: 503,
        reason: FailureReason.NoConfiguration,
        retryAfterMilliseconds: startupRetryMilliseconds,
      };
    }
    const {configuration} = routes;
    const route = routes.find(request.host, request.path);
    if (route === undefined) {
      return {status: 404, reason: FailureReason.NoRoute};
    }
    const {accounts} = configuration;
    const account = accounts?.get(request.key ?? '');
    if (accounts !== undefined && account === undefined && !route.isPublic) {
      return {status: 401, reason: FailureReason.BadKey};
    }
    const name = pickTarget(route.targets, Math.random());
    const service = configuration.services.get(name) ?? {
      name,
      model: undefined,
    };
    return {route, service, account, configuration};
  }

  /** Refuses a request that the exit of this VM would cut off. */
  private checkStop(
    open: OpenRequest,
    route: Route,
    deadline: Deadline,
  ): LocalAnswer | undefined {
    const {findStopPlan, computeRefusingShare, metrics, getNow} = this.context;
    const {answersByRoute} = this.context;
    const plan = findStopPlan();
    if (plan === undefined) return undefined;
    const {name, kind} = route;
    const latency = getDurationLatency(kind);
    const refusingShare = computeRefusingShare();
    const findDuration = (share: number) =>
      answersByRoute.findShare(name, share) ??
      metrics.findShare(latency, share);
    const now = getNow();
    const work = {
      deadline,
      answer: this.findAnswerSize(route),
      findDuration,
      refusingShare,
    };
    const grounds = this.isClosing
      ? undefined
      : findTakeGrounds(plan, work, now);
    if (grounds !== undefined) {
      this.context.writeEvent(GatewayEvent.RequestTakenInStop, {
        request: open.attemptId,
        route: name,
        reason: grounds.reason,
        stopMs: Math.round(now - plan.startedAt),
        deadlineAfterExitMs: Math.round(deadline - plan.exitAt),
        comparedMs: Math.round(grounds.durationMilliseconds ?? 0),
        refusingShare,
      });
      return undefined;
    }
    return this.describeStop(plan, now);
  }

  private describeStop(plan: StopPlan, now: Instant): LocalAnswer {
    const hasReadyPeer = this.context.computeRefusingShare() < 1;
    return {
      status: 503,
      reason: FailureReason.Stopping,
      retryAfterMilliseconds: computeStopRetryDelay(
        plan,
        hasReadyPeer,
        now,
        Math.random,
      ),
    };
  }

  private findAnswerSize({name, kind}: Route): AnswerSize {
    if (kind === RouteKind.Streaming) return AnswerSize.Stream;
    const isLarge = this.context.answersByRoute.isLarge(name);
    return isLarge ? AnswerSize.Large : AnswerSize.Small;
  }

  private refuse(
    request: CallerRequest,
    open: OpenRequest,
    answer: LocalAnswer,
  ): void {
    const {context} = this;
    const {response, receivedAt} = open;
    const {status, reason, retryAfterMilliseconds} = answer;
    const body = context.codec.encodeErrorBody(reason);
    const headers = [
      ...context.codec.encodeLocalAnswer(request, retryAfterMilliseconds),
      'Content-Length',
      String(body.length),
    ];
    // What is left of the request would take memory until its end has come.
    const hasRest =
      status === 413 ||
      status === 408 ||
      reason === FailureReason.RequestsTooMany;
    const isLast = context.findStopPlan() !== undefined || hasRest;
    if (isLast && this.openRequests.closeAfter(open)) {
      headers.push('Connection', 'close');
    }
    if (response.destroyed) return;
    response.writeHead(status, headers);
    response.end(body);
    const isRefused = status === 503 || status === 429;
    context.metrics.count(isRefused ? Counter.Refused : Counter.Failed);
    context.writeEvent(
      isRefused ? GatewayEvent.RequestRefused : GatewayEvent.RequestFailed,
      {
        request: request.attemptId,
        path: request.path,
        status,
        reason,
        ms: Math.round(context.getNow() - receivedAt),
        version: this.routes?.configuration.version ?? 0,
        ...(answer.parts === undefined ? {} : {parts: answer.parts}),
      },
    );
  }
}

async function serveRequest(context: RequestContext): Promise<void> {
  const {service, route, response, open} = context;
  const {model} = service;
  const isStream = route.kind === RouteKind.Streaming && model !== undefined;
  const handler = isStream
    ? new StreamRequestHandler(context, model)
    : new PlainRequestHandler(context);
  open.describeProgress = () => handler.describeProgress();
  open.answerNow = () => handler.answerNow();
  open.handleCut = closedBy => {
    handler.cancel();
    recordCut(context, closedBy);
  };
  if (response.req.socket.destroyed) return handler.cancel();
  await handler.run();
}

/** Computes the time since the stop of this VM began; 0 before. */
function computeStopAge({findStopPlan, getNow}: ServerContext): number {
  const plan = findStopPlan();
  return plan === undefined ? 0 : getNow() - plan.startedAt;
}

/** Logs an answer whose connection closed before it was written out. */
function recordCut(
  {server, open, response, receivedAt}: RequestContext,
  closedBy: ClosedBy,
): void {
  if (open.isBrokenOff) return;
  const isComplete = response.writableEnded;
  if (closedBy === ClosedBy.Caller) server.metrics.count(Counter.Abandoned);
  if (isComplete) server.metrics.count(Counter.Unwritten);
  const event = isComplete
    ? GatewayEvent.AnswerUnwritten
    : GatewayEvent.RequestAbandoned;
  server.writeEvent(event, {
    request: open.attemptId,
    closedBy,
    ms: Math.round(server.getNow() - receivedAt),
    stopMs: Math.round(computeStopAge(server)),
    ...open.describeProgress(),
  });
}
