import {EngineRefusal, FinalAnswer, RoutingEvent} from '@zinniaspindle/shared';
import type {
  EndpointId,
  Instant,
  CodedError,
  LogEvent,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {FailureCertainty} from '../retries/breaker.js';
import type {Step} from '../step.js';
import {makeChainNotAskedError} from './errors.js';
import type {RequestErrorCode} from './errors.js';
import {RequestCommandKind, RequestEventKind} from './messages.js';
import type {
  AskChain,
  ChainAssigned,
  ChainRefused,
  RequestCommand,
  ReportEndpoint,
  RequestEvent,
  StreamEnded,
  StreamFailed,
  StreamNotAccepted,
  StreamSilent,
  TokenArrived,
} from './messages.js';
import {hashTokens} from './hash_tokens.js';
import {RequestPhase} from './state.js';
import type {RequestState} from './state.js';
import {findFaultyStage, TokenVerdict, verifyToken} from './verify_token.js';
import type {VerifyToken} from './verify_token.js';

/** The result of one event: the next state of a request, with commands. */
export type RequestStep = Step<RequestState, RequestCommand>;

/** The result, or the error of an event that is invalid in this phase. */
export type RequestResult = Result<RequestStep, CodedError<RequestErrorCode>>;

const silentDetail = 'no token within the silence timeout';

/** Decides what a request does next; only tests replace verify. */
export function decideRequest(
  state: RequestState,
  event: RequestEvent,
  now: Instant,
  verify: VerifyToken = verifyToken,
): RequestResult {
  if (state.phase === RequestPhase.Finished) return makeStep(state);
  switch (event.kind) {
    case RequestEventKind.ChainAssigned:
      return acceptChain(state, event, now);
    case RequestEventKind.ChainRefused:
      return refuseRequest(state, event);
    case RequestEventKind.Token:
      return acceptToken(state, event, now, verify);
    case RequestEventKind.Ended:
      return acceptEnd(state, event);
    case RequestEventKind.Failed:
      if (event.failure.request !== state.spec.id) return makeStep(state);
      return resumeOnNewChain(state, describeFailure(event));
    case RequestEventKind.NotAccepted:
      return handleNotAccepted(state, event);
    case RequestEventKind.StreamBroken:
      return resumeOnNewChain(state, {...event, endpoints: [event.endpoint]});
    case RequestEventKind.Silent:
      return startMove(state, event, now);
    case RequestEventKind.CallerGone:
      return closeRequest(state, FinalAnswer.Cancelled, 'the caller left');
    case RequestEventKind.DeadlineReached:
      return closeIncomplete(state, 'the deadline passed', now);
    case RequestEventKind.StopReached:
      return closeIncomplete(state, 'the entry VM stops', now);
    case RequestEventKind.Superseded:
      return closeSuperseded(state, event.attempt);
  }
}

/** Opens an attempt on a chain; one that it replaces is cancelled only now. */
function acceptChain(
  state: RequestState,
  event: ChainAssigned,
  now: Instant,
): RequestResult {
  const {move} = state;
  if (move === undefined || state.phase !== RequestPhase.Running) {
    state.move = undefined;
    return openAttempt(state, event, now);
  }
  const {attempt} = state;
  const fault = {...move, attempt, detail: silentDetail};
  const logEvent = describeFault(state, fault);
  const cancel = dropAttempt(state, fault);
  return openAttempt(state, event, now).map(step => ({
    ...step,
    commands: [cancel, ...step.commands],
    logEvents: [logEvent, ...step.logEvents],
  }));
}

function openAttempt(
  state: RequestState,
  event: ChainAssigned,
  now: Instant,
): RequestResult {
  if (state.phase !== RequestPhase.WaitingForChain) {
    return Result.err(makeChainNotAskedError(state.spec.id, state.phase));
  }
  state.phase = RequestPhase.Running;
  state.attempt += 1;
  state.chain = event.chain;
  state.earlierMayHaveRun = state.mayHaveRun;
  state.mayHaveRun = true;
  state.lastProgressAt = now;
  const {attempt, chain, goesOn} = state;
  return makeStep(state, [
    {kind: RequestCommandKind.SaveRecord},
    {kind: RequestCommandKind.OpenStream, attempt, chain, goesOn},
  ]);
}

function refuseRequest(
  state: RequestState,
  event: ChainRefused,
): RequestResult {
  if (state.move === undefined || state.phase !== RequestPhase.Running) {
    return closeIncomplete(state, event.reason, event.retryAt);
  }
  const fields = {
    request: state.spec.id,
    attempt: state.attempt,
    endpoint: state.move.endpoints.join(' '),
    detail: event.reason,
  };
  state.move = undefined;
  state.nextMoveAt = event.retryAt;
  const logEvent: LogEvent = {event: RoutingEvent.AttemptStays, fields};
  return makeStep(state, [], [logEvent]);
}

/**
 * Asks for another chain for a silent attempt, which goes on until there is one:
 * its stages may be sound.
 */
function startMove(
  state: RequestState,
  {attempt, endpoints}: StreamSilent,
  now: Instant,
): RequestResult {
  if (attempt !== state.attempt || state.phase !== RequestPhase.Running) {
    return makeStep(state);
  }
  if (state.move !== undefined || now < state.nextMoveAt) {
    return makeStep(state);
  }
  state.move = {endpoints};
  const certainty = FailureCertainty.Suspected;
  const fault = {attempt, endpoints, certainty, detail: silentDetail};
  const reports = endpoints.map(endpoint => reportEndpoint(endpoint, fault));
  const excluded = [...state.failedEndpoints, ...endpoints];
  return makeStep(state, [...reports, makeAsk(state, excluded, true)]);
}

function acceptToken(
  state: RequestState,
  event: TokenArrived,
  now: Instant,
  verify: VerifyToken,
): RequestResult {
  const {token} = event;
  const verdict = verify(state, token);
  if (verdict === TokenVerdict.Stale) {
    return makeStep(state, [], [makeStaleAnswerEvent(state, token.attempt)]);
  }
  if (verdict !== TokenVerdict.Valid) {
    const detail = `token ${token.index}: ${verdict}`;
    const endpoint = findFaultyStage(state, token);
    return resumeOnNewChain(state, makeStreamFault(state, endpoint, detail));
  }
  state.delivered.push(token.text);
  state.lastReceiptAttempt = token.receipts[0]?.attempt ?? state.attempt;
  if (!isPrefixMatched(state)) {
    const detail =
      'text of the new attempt differs from what the caller already has';
    return closeRequest(state, FinalAnswer.Partial, detail, now);
  }
  state.lastProgressAt = now;
  const {index, text} = token;
  return makeStep(state, [{kind: RequestCommandKind.Deliver, index, text}]);
}

/** Compares the replayed text with the caller's prefix once it is complete. */
function isPrefixMatched(state: RequestState): boolean {
  const {callerPrefix: prefix, delivered} = state;
  if (prefix === undefined || delivered.length !== prefix.tokens) return true;
  return hashTokens(delivered) === prefix.hash;
}

function acceptEnd(state: RequestState, event: StreamEnded): RequestResult {
  const {end} = event;
  if (end.request !== state.spec.id || end.attempt !== state.attempt) {
    return makeStep(state, [], [makeStaleAnswerEvent(state, end.attempt)]);
  }
  if (end.tokens !== state.delivered.length) {
    const detail = `the end event counts ${end.tokens} tokens, ${state.delivered.length} were received`;
    const lead = state.chain[state.chain.length - 1]!.endpoint;
    return resumeOnNewChain(state, makeStreamFault(state, lead, detail));
  }
  return closeRequest(state, FinalAnswer.Completed, 'all tokens delivered');
}

/** Why an attempt failed, and which endpoints are reported for it. */
interface AttemptFault {
  readonly attempt: number;
  readonly endpoints: readonly EndpointId[];
  /** Defaults to Certain. */
  readonly certainty?: FailureCertainty;
  readonly reason?: EngineRefusal;
  readonly detail: string;
}

/** Makes the fault of an invalid event in the current attempt's stream. */
function makeStreamFault(
  state: RequestState,
  endpoint: EndpointId,
  detail: string,
): AttemptFault {
  const certainty = FailureCertainty.Suspected;
  return {attempt: state.attempt, endpoints: [endpoint], certainty, detail};
}

function describeFailure(event: StreamFailed): AttemptFault {
  const {attempt, endpoint, reason, detail} = event.failure;
  const endpoints = endpoint === undefined ? [] : [endpoint];
  return {attempt, endpoints, reason, detail};
}

/** Handles an attempt that no engine accepted, so none of its layers ran. */
function handleNotAccepted(
  state: RequestState,
  event: StreamNotAccepted,
): RequestResult {
  if (event.attempt !== state.attempt) return makeStep(state);
  state.mayHaveRun = state.earlierMayHaveRun;
  // A lead stage without the stream to continue can still serve a new one.
  const isLeadFaulty = event.reason !== EngineRefusal.UnknownStream;
  const endpoints = isLeadFaulty ? [event.endpoint] : [];
  return resumeOnNewChain(state, {...event, endpoints});
}

/** Fails the current attempt and asks for a chain without the failed endpoints. */
function resumeOnNewChain(
  state: RequestState,
  fault: AttemptFault,
): RequestResult {
  if (fault.attempt !== state.attempt) return makeStep(state);
  if (state.phase !== RequestPhase.Running) return makeStep(state);
  // The chain that was asked for while the attempt went on serves as well.
  const isAsked = state.move !== undefined;
  state.move = undefined;
  const commands: RequestCommand[] = [];
  for (const endpoint of fault.endpoints) {
    commands.push(reportEndpoint(endpoint, fault));
  }
  const logEvent = describeFault(state, fault);
  commands.unshift(dropAttempt(state, fault));
  if (!isAsked) commands.push(makeAsk(state, state.failedEndpoints, false));
  return makeStep(state, commands, [logEvent]);
}

/** Ends the current attempt, whose endpoints later chains leave out. */
function dropAttempt(state: RequestState, fault: AttemptFault): RequestCommand {
  const {attempt, chain} = state;
  state.failedEndpoints.push(...fault.endpoints);
  state.phase = RequestPhase.WaitingForChain;
  state.move = undefined;
  state.goesOn = false;
  return {kind: RequestCommandKind.CancelStream, attempt, chain};
}

function makeAsk(
  {chain}: RequestState,
  excluded: readonly EndpointId[],
  canStay: boolean,
): AskChain {
  const kind = RequestCommandKind.AskChain;
  const keep = chain.filter(stage => !excluded.includes(stage.endpoint));
  return {kind, excluded: [...excluded], keep, canStay};
}

function describeFault(state: RequestState, fault: AttemptFault): LogEvent {
  const fields = {
    request: state.spec.id,
    attempt: fault.attempt,
    endpoint: fault.endpoints.join(' ') || 'unknown',
    detail: fault.detail,
  };
  return {event: RoutingEvent.AttemptFailed, fields};
}

function reportEndpoint(
  endpoint: EndpointId,
  fault: AttemptFault,
): ReportEndpoint {
  const {detail, reason} = fault;
  const certainty = fault.certainty ?? FailureCertainty.Certain;
  const kind = RequestCommandKind.ReportEndpoint;
  const reasonField = reason === undefined ? {} : {reason};
  return {kind, endpoint, certainty, detail, ...reasonField};
}

/**
 * Closes an incomplete request as Partial if tokens were delivered, as
 * OutcomeUnknown if a layer may have run, and as NotRun otherwise.
 */
function closeIncomplete(
  state: RequestState,
  detail: string,
  retryAt: Instant,
): RequestResult {
  if (state.delivered.length > 0 || state.callerPrefix !== undefined) {
    return closeRequest(state, FinalAnswer.Partial, detail, retryAt);
  }
  if (state.mayHaveRun) {
    return closeRequest(state, FinalAnswer.OutcomeUnknown, detail);
  }
  return closeRequest(state, FinalAnswer.NotRun, detail, retryAt);
}

function closeSuperseded(state: RequestState, attempt: number): RequestResult {
  return closeRequest(
    state,
    FinalAnswer.Cancelled,
    `another VM took the request over with attempt ${attempt}`,
  );
}

function closeRequest(
  state: RequestState,
  answer: FinalAnswer,
  detail: string,
  retryAt?: Instant,
): RequestResult {
  const commands: RequestCommand[] = [];
  if (
    state.phase === RequestPhase.Running &&
    answer !== FinalAnswer.Completed
  ) {
    const {attempt, chain} = state;
    commands.push({kind: RequestCommandKind.CancelStream, attempt, chain});
  }
  state.phase = RequestPhase.Finished;
  const tokens = state.delivered.length;
  commands.push({
    kind: RequestCommandKind.Finish,
    answer,
    detail,
    tokens,
    ...(retryAt === undefined ? {} : {retryAt}),
  });
  const logEvent: LogEvent = {
    event: RoutingEvent.RequestFinished,
    fields: {request: state.spec.id, answer, tokens, detail},
  };
  return makeStep(state, commands, [logEvent]);
}

function makeStaleAnswerEvent(state: RequestState, attempt: number): LogEvent {
  return {
    event: RoutingEvent.StaleAnswerDropped,
    fields: {request: state.spec.id, attempt, current: state.attempt},
  };
}

function makeStep(
  state: RequestState,
  commands: readonly RequestCommand[] = [],
  logEvents: readonly LogEvent[] = [],
): RequestResult {
  return Result.ok({state, commands, logEvents});
}
