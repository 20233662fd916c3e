import {
  Answerer,
  findAnswerer,
  isOfOther,
  type EndpointCall,
  type ProcessClaims,
} from '@zinniaspindle/decisions';
import {Result} from 'true-myth';
import type {
  CallTarget,
  EndpointAnswer,
  ForwardingContext,
} from '../ports/index.js';
import {findAsked, type AskedEndpoint} from '../fleet/asked_endpoint.js';
import type {ConnectionKeeper} from '../links/kept_connections.js';
import type {OpenConnection} from '../links/open_connection.js';
import {openSettled} from '../links/open_settled.js';
import {canRunAgain} from './can_run_again.js';
import type {RequestContext} from './request_context.js';
import {startLinkWatch} from './link_watch.js';
import {
  listSentParts,
  startCounts,
  verifyEnd,
  type SentPath,
} from './verify_end.js';
import {
  Upstream,
  UpstreamEnd,
  type UpstreamListener,
  type UpstreamRequest,
} from './upstream.js';

/** What a request is sent with, beside what its caller sent. */
type UpstreamForwarding = Pick<
  ForwardingContext,
  'urgency' | 'parts' | 'lastEventId'
>;

/** Receives the answer of an attempt. */
export type AttemptListener = UpstreamListener & {
  readonly handleSilence?: () => void;
};

/** How the connection of a request is opened. */
export enum Opening {
  /** A new connection. */
  New = 'new',
  /** A new connection that the endpoint has not reset at once. */
  Settled = 'settled',
  /** A kept connection, if there is one; for requests that may run again. */
  Kept = 'kept',
}

/** Sends a caller's request to an endpoint. */
export function openUpstream(
  context: RequestContext,
  {id, address}: CallTarget,
  forwarding: UpstreamForwarding,
  listener: AttemptListener,
  opening = Opening.New,
): Upstream {
  const {server} = context;
  const target = findAsked(server.endpoints, {id, address});
  const getUpstream = (): Upstream => upstream;
  const sent: SentPath = {
    source: target,
    parts: listSentParts(server.endpoints, forwarding.parts),
  };
  const keeper =
    opening === Opening.Kept ? makeKeeper(context, target) : undefined;
  const kept = keeper?.take();
  const purpose = `request ${context.request.attemptId}`;
  const openNew: OpenConnection = handle =>
    server.links.open({id, address, purpose}, handle);
  const openConnection: OpenConnection = handle => {
    if (opening === Opening.Settled) return openSettled(openNew, handle);
    if (kept === undefined) return openNew(handle);
    handle(Result.ok(kept));
    return () => undefined;
  };
  const request = makeRequest(context, sent, forwarding, keeper);
  const upstream: Upstream = new Upstream(
    {...request, openConnection},
    server.codec,
    makeListener(context, target, listener, sent, getUpstream),
  );
  if (listener.handleSilence !== undefined) {
    startLinkWatch(server.links, id, upstream, listener.handleSilence);
  }
  return upstream;
}

/**
 * Makes what takes and keeps the connection of a request. One without an id of its
 * own gets a new connection, since a late copy of an earlier answer could not be told
 * from its own; so does one that could not be tried again.
 */
function makeKeeper(
  {server, request, route}: RequestContext,
  {id, address, bornAt}: AskedEndpoint,
): ConnectionKeeper | undefined {
  const {attemptId} = request;
  if (bornAt === undefined || attemptId === '') return undefined;
  if (route.maxAttempts < 2) return undefined;
  return server.kept?.makeKeeper({id, address, bornAt}, attemptId);
}

function makeRequest(
  context: RequestContext,
  sent: SentPath,
  forwarding: UpstreamForwarding,
  keeper: ConnectionKeeper | undefined,
): UpstreamRequest {
  const {id, address} = sent.source;
  const {server, request, account, method, body, deadline, route} = context;
  const headers = server.codec.encodeUpstreamHeaders(request, {
    ...forwarding,
    endpointId: id,
    deadline,
    now: server.getNow(),
    accountName: account?.name,
    bodyBytes: body.length,
    keepsConnection: keeper !== undefined,
  });
  const {path, attemptId} = request;
  return {
    ...{address, method, path, headers, body, attemptId, deadline, keeper},
    canRunAgain: canRunAgain(route),
    verifyEnd: end => verifyEnd(context, sent, end),
  };
}

/** Makes what applies the facts of an answer to its endpoint, and passes it on. */
function makeListener(
  context: RequestContext,
  target: AskedEndpoint,
  listener: AttemptListener,
  {parts}: SentPath,
  getUpstream: () => Upstream,
): UpstreamListener {
  const {server, request} = context;
  const {id, bornAt} = target;
  const source = `request ${request.attemptId}`;
  const call = {
    ...{asked: target, callId: request.attemptId},
    hasPath: parts.length > 0,
  };
  let claims: ProcessClaims | undefined;
  return {
    handleHead: answer => {
      const relay = getUpstream().getRelay();
      const stated = {...answer, callId: answer.attemptId ?? ''};
      const isRelayed = relay !== undefined;
      const answerer = findAnswerer({...call, isRelayed}, stated);
      // A process that does not check whom it is for may have run the request.
      const hasNotRun = answerer === Answerer.Other && answer.isNotRun;
      if (hasNotRun) claims = stated;
      acceptNotice(context, call, answer);
      if (!getUpstream().isFramed()) startCounts(server, parts);
      const {pauseMilliseconds: milliseconds} = answer;
      if (relay === undefined || milliseconds === undefined) return;
      // The endpoint wants nothing of the VM that its connection came from.
      if (bornAt !== undefined) {
        server.sendPause(relay, {id, bornAt, milliseconds});
      }
    },
    handleAnswer: answer => listener.handleAnswer(answer),
    handleChunk: chunk => listener.handleChunk(chunk),
    handleExcess: excess => {
      server.prober.recordOverrun(id, excess, source);
    },
    handleUnsealed: detail => server.prober.recordUnsealed(id, detail),
    handleLastByte: () => listener.handleLastByte?.(),
    handleEnd: (end, detail) => {
      if (claims === undefined || end !== UpstreamEnd.Complete) {
        return listener.handleEnd(end, detail);
      }
      // Its own path is none that has to be left.
      listener.handleLastByte?.();
      server.prober.recordReplaced(target, claims, source);
      const {endpointId = 'another endpoint'} = claims;
      const reason = `the address belongs to ${endpointId}`;
      listener.handleEnd(UpstreamEnd.NotSent, reason);
    },
  };
}

/**
 * Applies what an answer states about the endpoint that gave it. That is the
 * first of a path, also where the answer names another one as the cause of a
 * failure; a misdirected request is answered by the new owner of the address.
 */
function acceptNotice(
  {server: {endpoints}, request}: RequestContext,
  call: Pick<EndpointCall, 'asked' | 'hasPath'>,
  answer: EndpointAnswer,
): void {
  const isOther = isOfOther(call, answer);
  const id = isOther ? answer.endpointId : call.asked.id;
  if (id === undefined) return;
  const bornAt = isOther ? endpoints.find(id)?.bornAt : call.asked.bornAt;
  if (bornAt === undefined) return;
  endpoints.acceptNotice({id, bornAt}, answer, `request ${request.attemptId}`);
}
