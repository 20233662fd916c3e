import type {ForwardingContext} from '../ports/index.js';
import type {RequestContext} from './request_context.js';
import {Upstream, type UpstreamListener} from './upstream.js';

/** The endpoint that a request is sent to. */
export interface UpstreamTarget {
  readonly id: string;
  readonly address: string;
}

/** Sends a caller's request to an endpoint. */
export function openUpstream(
  context: RequestContext,
  {id, address}: UpstreamTarget,
  forwarding: Pick<ForwardingContext, 'urgency' | 'parts' | 'lastEventId'>,
  listener: UpstreamListener,
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
  return new Upstream(
    {address, method, path, headers, body, attemptId, deadline},
    server.codec,
    listener,
  );
}
