import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {
  isAfterStall,
  SourceState,
  verifyUnframedEnd,
  type StageEvidence,
  type UnframedEvidence,
  type UnframedVerdict,
  type PathPart,
} from '@zinniaspindle/decisions';
import {
  formatLayerRange,
  GatewayEvent,
  hasAllLayers,
  type Instant,
  type LayerRange,
} from '@zinniaspindle/shared';
import type {EndpointTable} from '../fleet/endpoint_table.js';
import {
  formatHeld,
  isCounted,
  type EndpointFacts,
} from '../fleet/endpoint_state.js';
import {findAsked, type AskedEndpoint} from '../fleet/asked_endpoint.js';
import type {PartReply} from '../fleet/source_check.js';
import type {RequestContext, ServerContext} from './request_context.js';
import type {UnframedEnd} from './upstream.js';

/** Reports show the state of some hundred milliseconds ago, if nothing is stated. */
const defaultLagMilliseconds = 300;
/** Reports may be older by this than stated. */
const lagMarginMilliseconds = 30;

/** An endpoint of a path, as it was known when the request was sent. */
export interface SentPart extends AskedEndpoint {
  readonly layers: LayerRange;
  /** The orders that it had accepted; undefined until that has been shown. */
  sentAtCount: number | undefined;
  /** Set while the endpoint is asked for the number. */
  counting?: Promise<void>;
}

/** Where a request was sent. */
export interface SentPath {
  /** The endpoint that gives the answer. */
  readonly source: AskedEndpoint;
  /** The endpoints of its path, the source included; none for a plain service. */
  readonly parts: readonly SentPart[];
}

/** Lists the endpoints of a path as they are known now. */
export function listSentParts(
  endpoints: EndpointTable,
  parts: readonly PathPart[] = [],
): SentPart[] {
  return parts.map(({endpoint, layers}) => {
    const state = endpoints.find(endpoint.id);
    const isShown = state !== undefined && isCounted(state);
    const sentAtCount = isShown ? state.orderCount : undefined;
    return {...findAsked(endpoints, endpoint), layers, sentAtCount};
  });
}

/**
 * Asks the endpoints of an answer without a length for the numbers of their orders
 * that were not known when the request was sent, as after a start of this VM.
 */
export function startCounts(
  {endpoints, prober}: ServerContext,
  parts: readonly SentPart[],
): void {
  for (const part of parts) {
    const state = endpoints.find(part.id);
    if (state === undefined || part.sentAtCount !== undefined) continue;
    // It may have been shown since.
    if (isCounted(state)) recordCount(part, state);
    else {
      part.counting = prober.fetchReport(state).then(report => {
        if (report?.isOk) recordCount(part, report.value);
      });
    }
  }
}

/**
 * Records how many orders a part had accepted. One that still holds its layers has
 * not given them up since the request was sent.
 */
function recordCount(
  part: SentPart,
  {bornAt, orderCount, held}: Omit<EndpointFacts, 'id'>,
): void {
  const isOfPart = bornAt === part.bornAt && hasAllLayers(held, part.layers);
  if (isOfPart) part.sentAtCount = orderCount;
}

/** Verifies the end of an answer that has neither a length nor chunks. */
export async function verifyEnd(
  context: RequestContext,
  {source, parts}: SentPath,
  {relay = '', silentMilliseconds: milliseconds}: UnframedEnd,
): Promise<UnframedVerdict> {
  const {server, request} = context;
  const {stallMilliseconds} = server;
  const isOfPath = parts.length > 1;
  const silence = {milliseconds, isOfPath, stallMilliseconds};
  // Nobody is asked where the silence decides.
  const evidence = isAfterStall(silence)
    ? {source: SourceState.Unknown, parts: []}
    : await fetchEvidence(context, {source, parts});
  const verdict = verifyUnframedEnd({silence, ...evidence});
  server.writeEvent(GatewayEvent.AnswerUnframed, {
    request: request.attemptId,
    endpoint: source.id,
    relay,
    silentMs: Math.round(milliseconds),
    verdict,
    parts: formatEvidence(parts, evidence.parts),
  });
  return verdict;
}

/** Finds the time by which reports of a request's endpoints lag, in milliseconds. */
function findLag({service: {model}}: RequestContext): number {
  const stated = model?.reportLagMilliseconds;
  return (stated ?? defaultLagMilliseconds) + lagMarginMilliseconds;
}

/** Fetches what the endpoints of a path show of themselves after an end. */
async function fetchEvidence(
  context: RequestContext,
  {source, parts}: SentPath,
): Promise<Omit<UnframedEvidence, 'silence'>> {
  const {server} = context;
  const reportedAt = server.getNow() + findLag(context);
  if (parts.length === 0) {
    return {source: await server.sourceCheck.check(source), parts: []};
  }
  const evidence = await fetchParts(server, parts, reportedAt);
  return {source: evidence[0]!.state, parts: evidence};
}

/**
 * Asks the endpoints of a path for their reports, at once, since one that answers
 * has outlived the end, and again when the reports show the orders until then.
 * @param reportedAt the instant from which reports show the state of the end
 */
async function fetchParts(
  server: ServerContext,
  parts: readonly SentPart[],
  reportedAt: Instant,
): Promise<StageEvidence[]> {
  const ask = () =>
    Promise.all(parts.map(part => server.sourceCheck.checkPart(part)));
  const replies = await ask();
  await Promise.all(parts.map(({counting}) => counting));
  const areAlive = replies.every(({state}) => state === SourceState.Alive);
  const wait = reportedAt - server.getNow();
  if (areAlive && wait > 0) await waitMilliseconds(wait);
  const later = areAlive ? await ask() : replies;
  for (const [index, {id}] of parts.entries()) {
    const {report} = later[index]!;
    if (report === undefined) continue;
    const {bornAt, orderCount, held} = report;
    server.endpoints.applyReport({id, bornAt, orderCount, held});
  }
  return parts.map((part, index) =>
    makeEvidence(server, part, replies[index]!, later[index]!),
  );
}

function makeEvidence(
  server: ServerContext,
  {id, bornAt, layers, sentAtCount = 0}: SentPart,
  {state, report: first}: PartReply,
  {report: last}: PartReply,
): StageEvidence {
  const stated = last ?? first;
  const isOfEnd = last !== undefined;
  return {
    ...{layers, state, sentAtCount},
    report: stated && {...stated, isOfEnd},
    orders: server.endpoints.orders.list(id, bornAt),
  };
}

/** Formats what is known of the endpoints of a path, for the log. */
function formatEvidence(
  parts: readonly SentPart[],
  evidence: readonly StageEvidence[],
): string {
  const texts = evidence.map(
    ({layers, state, sentAtCount, report, orders}, index) => {
      const count = report?.orderCount ?? '?';
      const cuts = orders.filter(({cutsRequests}) => cutsRequests);
      const cutCounts = cuts.map(({orderCount}) => orderCount).join('+');
      return (
        `${parts[index]!.id} ${formatLayerRange(layers)} ${state}, ` +
        `orders ${sentAtCount} to ${count}, cutting ${cutCounts || 'none'}, ` +
        `holds ${formatHeld(report?.held)}`
      );
    },
  );
  return texts.join('; ');
}
