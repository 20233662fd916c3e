import {
  millisecondsPerSecond,
  type Deadline,
  type EndpointObject,
  type Instant,
  type VmId,
} from '@zinniaspindle/shared';

/** A change at an endpoint that its last load report does not show yet. */
export interface UnreportedChange {
  readonly time: Instant;
  /** Streams started, or ended when negative. */
  readonly streams: number;
  /** Prompt tokens sent for prefill. */
  readonly prefillTokens: number;
}

/** What this VM believes about one endpoint. */
export interface EndpointView {
  object: EndpointObject;
  /** Index of the endpoint's data centre in the view's link table. */
  dataCentre: number;
  /** Time of the figures of the last report; -1 before the first. */
  reportTime: Instant;
  reportedStreams: number;
  reportedPrefillTokens: number;
  /** Changes after the report's time, by this VM and its peers. */
  changes: UnreportedChange[];
  /** Sum of the streams of all changes. */
  changedStreams: number;
  /** When the prompt tokens known to wait will have been prefilled. */
  prefillFreeAt: Instant;
  /** Streams of this VM that run at the endpoint. */
  ownStreams: number;
  /** Prompt tokens of this VM whose first token has not come. */
  ownPrefillTokens: number;
  leaving: boolean;
  /** New work stays away until this instant; 0 when healthy. */
  failingUntil: Deadline;
  /** Peers whose breaker for the endpoint was open, and when they said so. */
  suspectingPeers: Map<VmId, Instant>;
  /** Prefixes believed to be cached, each until an instant. */
  prefixes: Map<string, Deadline>;
}

const maxChanges = 256;
const accusationMilliseconds = 1000;

/** Creates the view of an endpoint that nothing is known of yet. */
export function createEndpointView(
  object: EndpointObject,
  dataCentre: number,
): EndpointView {
  return {
    object,
    dataCentre,
    reportTime: -1,
    reportedStreams: 0,
    reportedPrefillTokens: 0,
    changes: [],
    changedStreams: 0,
    prefillFreeAt: 0,
    ownStreams: 0,
    ownPrefillTokens: 0,
    leaving: false,
    failingUntil: 0,
    suspectingPeers: new Map(),
    prefixes: new Map(),
  };
}

/** Counts the streams believed to run or wait at an endpoint now. */
export function countStreams(view: EndpointView): number {
  return Math.max(0, view.reportedStreams + view.changedStreams);
}

/** Adds a change that the last report cannot show. */
export function addChange(view: EndpointView, change: UnreportedChange): void {
  if (change.time <= view.reportTime) return;
  view.changes.push(change);
  view.changedStreams += change.streams;
  addPrefill(view, change);
  if (view.changes.length > maxChanges) foldOldest(view);
}

/** Replaces the report; changes up to its time are part of its figures. */
export function setReport(
  view: EndpointView,
  time: Instant,
  streams: number,
  prefillTokens: number,
): void {
  view.reportTime = time;
  view.reportedStreams = streams;
  view.reportedPrefillTokens = prefillTokens;
  view.prefillFreeAt = time + toPrefillMilliseconds(view, prefillTokens);
  view.changes = view.changes.filter(change => change.time > time);
  view.changedStreams = 0;
  for (const change of view.changes) {
    view.changedStreams += change.streams;
    addPrefill(view, change);
  }
}

/** Computes the milliseconds that an endpoint takes to prefill tokens. */
export function toPrefillMilliseconds(
  view: EndpointView,
  tokens: number,
): number {
  const {prefillTokensPerSecond} = view.object.rates;
  return (tokens * millisecondsPerSecond) / prefillTokensPerSecond;
}

/** Computes the milliseconds of a step with a number of streams. */
export function toStepMilliseconds(
  view: EndpointView,
  streams: number,
): number {
  const {rates} = view.object;
  const further = Math.max(0, Math.min(streams, rates.slots) - 1);
  return rates.stepMilliseconds + rates.stepMillisecondsPerStream * further;
}

function addPrefill(view: EndpointView, change: UnreportedChange): void {
  if (change.prefillTokens <= 0) return;
  const start = Math.max(view.prefillFreeAt, change.time);
  view.prefillFreeAt =
    start + toPrefillMilliseconds(view, change.prefillTokens);
}

function foldOldest(view: EndpointView): void {
  const oldest = view.changes.shift()!;
  view.reportedStreams += oldest.streams;
  view.changedStreams -= oldest.streams;
}

/** Counts the peers that lately found the endpoint failing. */
export function countSuspectingPeers(view: EndpointView, now: Instant): number {
  if (view.suspectingPeers.size === 0) return 0;
  for (const [vm, time] of view.suspectingPeers) {
    if (time + accusationMilliseconds <= now) view.suspectingPeers.delete(vm);
  }
  return view.suspectingPeers.size;
}
