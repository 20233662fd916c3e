import {
  millisecondsPerSecond,
  type Deadline,
  type EndpointObject,
  type Instant,
  type VmId,
} from '@zinniaspindle/shared';
import {
  createPromptCache,
  type CacheBounds,
  type PromptCache,
} from '../prompts/prompt_cache.js';

/** A load change at an endpoint that its last report doesn't include yet. */
export interface UnreportedChange {
  readonly time: Instant;
  /** Number of streams started; negative for ended streams. */
  readonly streams: number;
  /** Prompt tokens sent for prefill. */
  readonly prefillTokens: number;
}

/** This VM's view of one endpoint. */
export interface EndpointView {
  object: EndpointObject;
  /** Index of the endpoint's data centre in the view's link table. */
  dataCentre: number;
  /** Time of the last report; -1 before the first. */
  reportTime: Instant;
  reportedStreams: number;
  reportedPrefillTokens: number;
  /** Changes since the last report, by this VM and its peers. */
  changes: UnreportedChange[];
  /** Sum of the streams of all changes since the last report. */
  unreportedStreams: number;
  /** When all known queued prompt tokens will have been prefilled. */
  prefillFreeAt: Instant;
  /** Number of this VM's streams at the endpoint. */
  ownStreams: number;
  /** Prompt tokens of this VM's streams without a first token yet. */
  ownPrefillTokens: number;
  leaving: boolean;
  /** No new request is sent before this instant; 0 if healthy. */
  failingUntil: Deadline;
  /** Peers whose breaker for the endpoint is open, and when they reported it. */
  suspectingPeers: Map<VmId, Instant>;
  /** Prefixes presumed to be cached. */
  readonly prefixes: PromptCache;
}

/**
 * How long an engine presumably keeps a prefix. Its events tell when it drops
 * one for lack of memory.
 */
export const enginePrefixBounds: CacheBounds = {
  ttlMilliseconds: 60_000,
  maxTokens: Infinity,
};

const maxChanges = 256;

/** How long a peer's report of a failing endpoint counts. */
const suspicionMilliseconds = 1000;

/** Creates the view of an endpoint without reports. */
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
    unreportedStreams: 0,
    prefillFreeAt: 0,
    ownStreams: 0,
    ownPrefillTokens: 0,
    leaving: false,
    failingUntil: 0,
    suspectingPeers: new Map(),
    prefixes: createPromptCache(),
  };
}

/** Estimates the number of streams that run or wait at an endpoint now. */
export function countStreams(view: EndpointView): number {
  return Math.max(0, view.reportedStreams + view.unreportedStreams);
}

/** Adds a load change; those up to the last report's time are dropped. */
export function addChange(view: EndpointView, change: UnreportedChange): void {
  if (change.time <= view.reportTime) return;
  view.changes.push(change);
  view.unreportedStreams += change.streams;
  addPrefill(view, change);
  if (view.changes.length > maxChanges) foldOldest(view);
}

/** Replaces the last report and drops the changes that it includes. */
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
  view.unreportedStreams = 0;
  for (const change of view.changes) {
    view.unreportedStreams += change.streams;
    addPrefill(view, change);
  }
}

/** Computes how long an endpoint takes to prefill tokens, in milliseconds. */
export function toPrefillMilliseconds(
  view: EndpointView,
  tokens: number,
): number {
  const {prefillTokensPerSecond} = view.object.rates;
  return (tokens * millisecondsPerSecond) / prefillTokensPerSecond;
}

/** Computes the duration of a decode step with a number of streams, in ms. */
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
  view.unreportedStreams -= oldest.streams;
}

/** Counts the peers that recently reported the endpoint as failing. */
export function countSuspectingPeers(view: EndpointView, now: Instant): number {
  if (view.suspectingPeers.size === 0) return 0;
  for (const [vm, time] of view.suspectingPeers) {
    if (time + suspicionMilliseconds <= now) view.suspectingPeers.delete(vm);
  }
  return view.suspectingPeers.size;
}
