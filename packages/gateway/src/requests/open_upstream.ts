import {
  isAfterStall,
  UnframedVerdict,
  verifyUnframedEnd,
} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {EndpointAnswer, ForwardingContext} from '../ports/index.js';
import type {
  CancelConnection,
  HandleConnection,
  OpenConnection,
} from '../links/open_connection.js';
import type {AnswerSource} from '../fleet/source_check.js';
import type {RequestContext} from './request_context.js';
import {startLinkWatch} from './link_watch.js';
import {Upstream, type UnframedEnd, type UpstreamListener} from './upstream.js';

/** The endpoint that a request is sent to. */
export interface UpstreamTarget {
  readonly id: string;
  readonly address: string;
}

/** Receives the answer of an attempt. */
export type AttemptListener = UpstreamListener & {
  readonly handleSilence?: () => void;
};

/** The endpoint that gave an answer, alone or as the first of a path. */
interface PathSource extends AnswerSource {
  readonly isOfPath: boolean;
}

/**
 * Sends a caller's request to an endpoint.
 * @param openAs opens the connection, by the way to the endpoint that it gets
 */
export function openUpstream(
  context: RequestContext,
  {id, address}: UpstreamTarget,
  forwarding: Pick<ForwardingContext, 'urgency' | 'parts' | 'lastEventId'>,
  listener: AttemptListener,
  openAs: (
    open: OpenConnection,
    handle: HandleConnection,
  ) => CancelConnection = (open, handle) => open(handle),
): Upstream {
  const {server, request, account, method, body, deadline} = context;
  const headers = server.codec.encodeUpstreamHeaders(request, {
    ...forwarding,
    endpointId: id,
    deadline,
    now: server.getNow(),
    accountName: account?.name,
    bodyBytes: body.length,
  });
  const {path, attemptId} = request;
  const bornAt = server.endpoints.find(id)?.bornAt;
  const handleHead = (answer: EndpointAnswer) => {
    acceptNotice(context, {id, bornAt}, answer);
    const relay = upstream.getRelay();
    const {pauseMilliseconds: milliseconds} = answer;
    if (relay === undefined || milliseconds === undefined) return;
    // The endpoint wants nothing of the VM that its connection came from.
    if (bornAt !== undefined) {
      server.sendPause(relay, {id, bornAt, milliseconds});
    }
  };
  const purpose = `request ${attemptId}`;
  const upstream = new Upstream(
    {
      ...{address, method, path, headers, body, attemptId, deadline},
      openConnection: handle =>
        openAs(done => server.links.open({id, address, purpose}, done), handle),
      verifyEnd: end => {
        const source = {id, address, bornAt, isOfPath: hasFurther(forwarding)};
        return verifyEnd(context, source, end);
      },
    },
    server.codec,
    {
      handleHead,
      handleAnswer: answer => listener.handleAnswer(answer),
      handleChunk: chunk => listener.handleChunk(chunk),
      handleExcess: excess => {
        const source = `request ${attemptId}`;
        server.prober.recordOverrun(id, excess, source);
      },
      handleUnsealed: detail => server.prober.recordUnsealed(id, detail),
      handleEnd: (end, detail) => listener.handleEnd(end, detail),
    },
  );
  if (listener.handleSilence !== undefined) {
    startLinkWatch(server.links, id, upstream, listener.handleSilence);
  }
  return upstream;
}

/** Verifies the end of an answer that has neither a length nor chunks. */
async function verifyEnd(
  {server, request}: RequestContext,
  source: PathSource,
  {relay = '', silentMilliseconds: milliseconds}: UnframedEnd,
): Promise<UnframedVerdict> {
  const {stallMilliseconds} = server;
  const {isOfPath} = source;
  const verdict = isAfterStall({milliseconds, isOfPath, stallMilliseconds})
    ? UnframedVerdict.AfterStall
    : verifyUnframedEnd(await server.sourceCheck.check(source));
  server.writeEvent(GatewayEvent.AnswerUnframed, {
    request: request.attemptId,
    endpoint: source.id,
    relay,
    silentMs: Math.round(milliseconds),
    verdict,
  });
  return verdict;
}

/** Tells whether an answer depends on endpoints beside the one that gives it. */
function hasFurther({parts = []}: Pick<ForwardingContext, 'parts'>): boolean {
  return parts.length > 1;
}

/**
 * Applies what an answer states about the endpoint that gave it. That is the
 * first of a path, also where the answer names another one as the cause of a
 * failure; a misdirected request is answered by the new owner of the address.
 */
function acceptNotice(
  {server: {endpoints}, request}: RequestContext,
  target: {readonly id: string; readonly bornAt: Instant | undefined},
  answer: EndpointAnswer,
): void {
  const id = answer.endpointId ?? target.id;
  const isTarget = id === target.id;
  const bornAt = isTarget ? target.bornAt : endpoints.find(id)?.bornAt;
  if (bornAt === undefined) return;
  endpoints.acceptNotice({id, bornAt}, answer, `request ${request.attemptId}`);
}
