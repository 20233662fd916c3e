import type {
  CacheEvent,
  DataCentreId,
  Deadline,
  EndpointId,
  EndpointObject,
  Instant,
  LinkObject,
  LoadReport,
  ModelName,
  VmId,
} from '@zinniaspindle/shared';
import {CacheEventKind} from '@zinniaspindle/shared';
import type {EndpointUse, VmDigest} from '../membership/digest.js';
import {dropHeld, recordHeld, removeHeld} from '../prompts/prompt_cache.js';
import {
  addChange,
  createEndpointView,
  enginePrefixBounds,
  setReport,
  type EndpointView,
} from './endpoint_view.js';
import {buildModelGraph, type ModelGraph} from './layer_graph.js';
import {
  buildLinkTable,
  defaultLinkOptions,
  type LinkOptions,
  type LinkTable,
} from './link_table.js';

/** One VM's view of the endpoints and links of the fleet. */
export interface FleetView {
  readonly dataCentre: DataCentreId;
  readonly endpoints: Map<EndpointId, EndpointView>;
  readonly models: Map<ModelName, ModelGraph>;
  /** The endpoint uses in each peer's last digest. */
  readonly peerUses: Map<VmId, Map<EndpointId, EndpointUse>>;
  links: LinkTable;
  /** Time of the newest report of any endpoint; -1 before the first. */
  newestReport: Instant;
  readonly linkOptions: LinkOptions;
}

/** The load that a chain of this VM adds to the endpoint of one stage. */
export interface StageLoad {
  readonly endpoint: EndpointId;
  /** Prompt tokens presumed not to be cached there. */
  readonly prefillTokens: number;
}

/** Creates the view of a VM in a data centre, without endpoints. */
export function createFleetView(
  dataCentre: DataCentreId,
  linkOptions: LinkOptions = defaultLinkOptions,
): FleetView {
  return {
    dataCentre,
    endpoints: new Map(),
    models: new Map(),
    peerUses: new Map(),
    newestReport: -1,
    links: buildLinkTable([dataCentre], [], linkOptions),
    linkOptions,
  };
}

/** Replaces endpoints and links; the state of known endpoints is kept. */
export function setFleetObjects(
  view: FleetView,
  endpoints: Iterable<EndpointObject>,
  links: Iterable<LinkObject>,
): void {
  const objects = [...endpoints];
  const dataCentres = new Set([view.dataCentre]);
  for (const object of objects) dataCentres.add(object.dataCentre);
  view.links = buildLinkTable(dataCentres, links, view.linkOptions);
  const known = new Map(view.endpoints);
  view.endpoints.clear();
  for (const object of objects) {
    const index = view.links.indexes.get(object.dataCentre)!;
    const endpoint =
      known.get(object.name) ?? createEndpointView(object, index);
    if (!hasSameLayers(endpoint.object, object)) dropHeld(endpoint.prefixes);
    endpoint.object = object;
    endpoint.dataCentre = index;
    view.endpoints.set(object.name, endpoint);
  }
  buildGraphs(view);
}

/** Applies a load report; reports not newer than the last are dropped. */
export function applyLoadReport(view: FleetView, report: LoadReport): void {
  const endpoint = view.endpoints.get(report.endpoint);
  if (endpoint === undefined || report.time <= endpoint.reportTime) return;
  const streams = report.running + report.queued;
  setReport(endpoint, report.time, streams, report.queuedPrefillTokens);
  view.newestReport = Math.max(view.newestReport, report.time);
  if (report.leaving) endpoint.leaving = true;
}

/** Records that a chain of this VM started. */
export function recordStart(
  view: FleetView,
  stages: readonly StageLoad[],
  now: Instant,
): void {
  for (const stage of stages) {
    const endpoint = view.endpoints.get(stage.endpoint);
    if (endpoint === undefined) continue;
    endpoint.ownStreams += 1;
    endpoint.ownPrefillTokens += stage.prefillTokens;
    const {prefillTokens} = stage;
    addChange(endpoint, {time: now, streams: 1, prefillTokens});
  }
}

/** Records that a chain of this VM produced its first token. */
export function recordFirstToken(
  view: FleetView,
  stages: readonly StageLoad[],
): void {
  for (const stage of stages) {
    const endpoint = view.endpoints.get(stage.endpoint);
    if (endpoint !== undefined) dropOwnPrefill(endpoint, stage.prefillTokens);
  }
}

/** Records that a chain of this VM ended, with any outcome. */
export function recordEnd(
  view: FleetView,
  stages: readonly StageLoad[],
  hadFirstToken: boolean,
  now: Instant,
): void {
  for (const stage of stages) {
    const endpoint = view.endpoints.get(stage.endpoint);
    if (endpoint === undefined) continue;
    endpoint.ownStreams = Math.max(0, endpoint.ownStreams - 1);
    if (!hadFirstToken) dropOwnPrefill(endpoint, stage.prefillTokens);
    addChange(endpoint, {time: now, streams: -1, prefillTokens: 0});
  }
}

/** Lists this VM's streams and queued prefills per endpoint, for its digest. */
export function listOwnUses(view: FleetView): EndpointUse[] {
  const uses: EndpointUse[] = [];
  for (const [endpoint, {ownStreams, ownPrefillTokens}] of view.endpoints) {
    if (ownStreams === 0) continue;
    const prefillTokens = ownPrefillTokens;
    uses.push({endpoint, running: ownStreams, prefillTokens});
  }
  return uses;
}

/** Applies the endpoint uses of a peer's digest, as changes to its last one. */
export function applyDigestUses(view: FleetView, digest: VmDigest): void {
  const before = view.peerUses.get(digest.vm) ?? new Map();
  const after = new Map<EndpointId, EndpointUse>();
  for (const use of digest.uses) {
    after.set(use.endpoint, use);
    addPeerChange(view, digest.time, before.get(use.endpoint), use);
    before.delete(use.endpoint);
  }
  for (const [name, use] of before) {
    const endpoint = view.endpoints.get(name);
    if (endpoint === undefined) continue;
    const streams = -use.running;
    addChange(endpoint, {time: digest.time, streams, prefillTokens: 0});
  }
  view.peerUses.set(digest.vm, after);
  for (const name of digest.leavingEndpoints) setLeaving(view, name, true);
  for (const name of digest.failingEndpoints) {
    view.endpoints.get(name)?.suspectingPeers.set(digest.vm, digest.time);
  }
}

/** Removes a peer that left or failed; its streams count as ended. */
export function removePeer(view: FleetView, vm: VmId, now: Instant): void {
  for (const [name, use] of view.peerUses.get(vm) ?? []) {
    const endpoint = view.endpoints.get(name);
    if (endpoint === undefined) continue;
    addChange(endpoint, {time: now, streams: -use.running, prefillTokens: 0});
  }
  view.peerUses.delete(vm);
}

/** Sets whether an endpoint is leaving. */
export function setLeaving(
  view: FleetView,
  name: EndpointId,
  leaving: boolean,
): void {
  const endpoint = view.endpoints.get(name);
  if (endpoint !== undefined) endpoint.leaving = leaving;
}

/** Sends no new requests to an endpoint until an instant; 0 ends this. */
export function setFailing(
  view: FleetView,
  name: EndpointId,
  until: Deadline,
): void {
  const endpoint = view.endpoints.get(name);
  if (endpoint !== undefined) endpoint.failingUntil = until;
}

/** Records prefixes that an endpoint processed and has presumably cached. */
export function recordPrefixes(
  view: FleetView,
  name: EndpointId,
  hashes: Iterable<string>,
  now: Instant,
): void {
  const prefixes = view.endpoints.get(name)?.prefixes;
  if (prefixes === undefined) return;
  // Engines report prefixes without their tokens.
  const listed = Array.from(hashes, hash => ({hash, tokens: 0}));
  recordHeld(prefixes, listed, enginePrefixBounds, now);
}

/** Applies an engine's cache event, which may arrive late. */
export function applyCacheEvent(
  view: FleetView,
  name: EndpointId,
  event: CacheEvent,
  now: Instant,
): void {
  if (event.kind === CacheEventKind.Stored) {
    recordPrefixes(view, name, event.prefixHashes, now);
    return;
  }
  const prefixes = view.endpoints.get(name)?.prefixes;
  if (prefixes === undefined) return;
  for (const hash of event.prefixHashes) removeHeld(prefixes, hash);
}

/** Drops all cached prefixes of an endpoint, after a gap in its cache events. */
export function dropPrefixes(view: FleetView, name: EndpointId): void {
  const prefixes = view.endpoints.get(name)?.prefixes;
  if (prefixes !== undefined) dropHeld(prefixes);
}

function hasSameLayers(a: EndpointObject, b: EndpointObject): boolean {
  const {first, end} = a.layers;
  if (a.model !== b.model) return false;
  return first === b.layers.first && end === b.layers.end;
}

function addPeerChange(
  view: FleetView,
  time: Instant,
  before: EndpointUse | undefined,
  after: EndpointUse,
): void {
  const endpoint = view.endpoints.get(after.endpoint);
  if (endpoint === undefined) return;
  const streams = after.running - (before?.running ?? 0);
  const more = after.prefillTokens - (before?.prefillTokens ?? 0);
  const prefillTokens = Math.max(0, more);
  if (streams === 0 && prefillTokens === 0) return;
  addChange(endpoint, {time, streams, prefillTokens});
}

function dropOwnPrefill(endpoint: EndpointView, tokens: number): void {
  endpoint.ownPrefillTokens = Math.max(0, endpoint.ownPrefillTokens - tokens);
}

function buildGraphs(view: FleetView): void {
  const byModel = new Map<ModelName, EndpointView[]>();
  for (const endpoint of view.endpoints.values()) {
    const {model} = endpoint.object;
    const endpointViews = byModel.get(model);
    if (endpointViews === undefined) byModel.set(model, [endpoint]);
    else endpointViews.push(endpoint);
  }
  view.models.clear();
  for (const [model, endpointViews] of byModel) {
    view.models.set(model, buildModelGraph(endpointViews));
  }
}
