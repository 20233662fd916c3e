import {
  Answerer,
  isEndOfAsked,
  type EndpointCall,
  type ProcessClaims,
} from '@zinniaspindle/decisions';
import {GatewayEvent} from '@zinniaspindle/shared';
import type {Result} from 'true-myth';
import type {WriteEvent} from '../log/event_log.js';
import type {EndpointError, EndpointReport} from '../ports/index.js';
import {
  findReportAnswerer,
  getClaims,
  type AskedEndpoint,
} from './asked_endpoint.js';
import type {EndpointTable} from './endpoint_table.js';
import {EndReason} from './end_watch.js';
import type {Incarnation} from './notice_table.js';

/** An answer, as far as it matters for who gave it. */
export interface HeardAnswer {
  readonly answerer: Answerer;
  /** What it states of its process; undefined without an answer. */
  readonly claims: ProcessClaims | undefined;
  /** What was answered, for the log. */
  readonly source: string;
}

/** What has to know of ends. */
export interface EndListeners {
  /** An incarnation of an endpoint has ended. */
  readonly handleEnded: (ended: Incarnation, reason: EndReason) => void;
  /** Another endpoint has the address of one. */
  readonly handleReplaced: (
    asked: AskedEndpoint,
    answer: Omit<HeardAnswer, 'answerer'>,
  ) => void;
}

/** Reports the end of an endpoint if an answer shows it; returns whether it does. */
export function reportEnd(
  {handleEnded, handleReplaced}: EndListeners,
  asked: AskedEndpoint,
  answer: HeardAnswer,
): boolean {
  const {answerer} = answer;
  const {id, bornAt} = asked;
  const hasEnded = isEndOfAsked(answerer);
  if (!hasEnded || bornAt === undefined) return hasEnded;
  if (answerer === Answerer.Other) handleReplaced(asked, answer);
  else {
    const isRestart = answerer === Answerer.Successor;
    const reason = isRestart ? EndReason.Restarted : EndReason.NotListening;
    handleEnded({id, bornAt}, reason);
  }
  return true;
}

/** Reports the end that the answer to a call for a report shows; finds whose it is. */
export function handleReply(
  listeners: EndListeners,
  call: EndpointCall & {readonly asked: AskedEndpoint},
  report: Result<EndpointReport, EndpointError>,
  source: string,
): Answerer {
  const answerer = findReportAnswerer(call, report);
  const claims = getClaims(report);
  reportEnd(listeners, call.asked, {answerer, claims, source});
  return answerer;
}

/**
 * Makes what removes endpoints whose address another one has. They come back with
 * their next entry, as after a start at another address.
 */
export function makeReplacedHandler(
  endpoints: EndpointTable,
  listeners: Pick<EndListeners, 'handleEnded'> & {
    readonly handleDown: (id: string) => void;
    readonly writeEvent: WriteEvent;
  },
): EndListeners['handleReplaced'] {
  const {handleEnded, handleDown, writeEvent} = listeners;
  return (asked, {claims, source}) => {
    // The answer tells nothing of what has become known since the call.
    if (!endpoints.isAsAsked(asked)) return;
    const {id, address} = asked;
    const {bornAt} = endpoints.find(id)!;
    const answerer = claims?.endpointId ?? 'another endpoint';
    const fields = {endpoint: id, address, answerer, source};
    writeEvent(GatewayEvent.EndpointReplaced, fields);
    handleEnded({id, bornAt}, EndReason.Replaced);
    handleDown(id);
    endpoints.removeReplaced(id);
  };
}
