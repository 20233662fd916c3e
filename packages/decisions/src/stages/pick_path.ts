import {countLayers, type Random} from '@zinniaspindle/shared';
import type {EngineFigures} from './engine_figures.js';
import {predictPath} from './predict_path.js';
import type {EndpointLoad, StagePath} from './stage_types.js';

/** How a path is picked for a request. */
export interface PickOptions {
  /** Fill up to which a path takes new requests. */
  readonly fullShare: number;
  /** The same for large requests, which would find no room among small ones. */
  readonly largeFullShare: number;
  /** Requests of at least this multiple of the usual tokens are large. */
  readonly largeRatio: number;
  /** A path this many times slower than the fastest is used only if the others are full. */
  readonly slowRatio: number;
  /** Fill by which a path of another data centre must be lower to be preferred. */
  readonly localBonus: number;
  /** Width of the random term that keeps VMs from all picking the same path. */
  readonly jitter: number;
}

/** The settings used where a deployment gives none. */
export const defaultPickOptions: PickOptions = {
  fullShare: 0.9,
  largeFullShare: 0.97,
  largeRatio: 1.5,
  slowRatio: 1.6,
  localBonus: 0.05,
  jitter: 0.1,
};

/**
 * Computes the fill of a path with one more request: the highest share of its
 * slots or of an endpoint's memory in use; 1 is full.
 */
export function computeFill(
  path: StagePath,
  tokens: number,
  getLoad: (id: string) => EndpointLoad,
): number {
  const first = getLoad(path.parts[0]!.endpoint.id);
  let fill = (first.streams + 1) / Math.max(1, path.slots);
  for (const {endpoint, layers, capacityLayerTokens} of path.parts) {
    const added = tokens * countLayers(layers);
    const {layerTokens} = getLoad(endpoint.id);
    fill = Math.max(
      fill,
      (layerTokens + added) / Math.max(1, capacityLayerTokens),
    );
  }
  return fill;
}

/** A request for which a path is picked. */
export interface PickRequest {
  /** Predicted tokens of its prompt and answer. */
  readonly tokens: number;
  /** Tokens of its prompt; undefined for the usual number. */
  readonly promptTokens?: number | undefined;
  /** Tokens of a usual request; undefined if unknown. */
  readonly usualTokens?: number | undefined;
  /** Target of the time to the first event. */
  readonly targetMilliseconds?: number | undefined;
  /** Target of the longest gap between events; without it times are not weighed. */
  readonly gapTargetMilliseconds?: number | undefined;
  /** Share of the capacity that it leaves free, 0 to 0.3. */
  readonly reservedShare?: number | undefined;
  /** Gives the prompt tokens that a path need not prefill. */
  readonly savedTokens?: ((path: StagePath) => number) | undefined;
}

/** What is known where a path is picked. */
export interface PickView {
  readonly getLoad: (id: string) => EndpointLoad;
  /** The data centre of this VM. */
  readonly dataCentre: string;
  readonly random: Random;
  /** Gives how many times slower than predicted a path runs. */
  readonly getSlowness?: ((path: StagePath) => number) | undefined;
  /** Undefined where times are not predicted. */
  readonly figures?: EngineFigures | undefined;
  readonly options?: PickOptions | undefined;
}

const maxReservedShare = 0.3;

/** Puts paths that miss a target behind all that meet them, slow ones included. */
const missPenalty = 10;

/**
 * Picks the path with the lowest fill for a request; undefined if all are full.
 * Much slower paths, such as those that cross data centres, are used only if the
 * others are full. Where times are predicted, the largest of the fill and the
 * shares that they take of their targets counts, and a path that misses a target
 * is used only if no other has room; then the one that misses by least.
 */
export function pickPath(
  paths: readonly StagePath[],
  request: PickRequest,
  view: PickView,
): StagePath | undefined {
  const {getLoad, dataCentre, random, options = defaultPickOptions} = view;
  const fullShare = computeFullShare(request, options);
  const slowFrom = computeSlowest(paths, options);
  let best: StagePath | undefined;
  let least = Infinity;
  for (const path of paths) {
    const fill = computeFill(path, request.tokens, getLoad);
    if (fill > fullShare) continue;
    const isLocal = path.parts[0]!.endpoint.dataCentre === dataCentre;
    const isSlow = path.passMilliseconds > slowFrom;
    const timeShare = computeTimeShare(path, request, view);
    const score =
      timeShare > 1
        ? missPenalty + timeShare
        : Math.max(fill, timeShare) + (isSlow ? 1 : 0);
    const rank =
      score - (isLocal ? options.localBonus : 0) + random() * options.jitter;
    if (rank >= least) continue;
    least = rank;
    best = path;
  }
  return best;
}

/**
 * Picks a path at random, by the room that each has, for a stream that leaves
 * another path. When an endpoint falls silent, all VMs move their streams at once
 * and by the same loads: the path with the lowest fill would get most of them.
 * Much slower paths are used only if the others are full, and paths that miss a
 * target only if no other has room.
 */
export function pickSpreadPath(
  paths: readonly StagePath[],
  request: PickRequest,
  view: PickView,
): StagePath | undefined {
  const {getLoad, dataCentre, random, options = defaultPickOptions} = view;
  const fullShare = computeFullShare(request, options);
  const slowFrom = computeSlowest(paths, options);
  const pick = (candidates: readonly StagePath[]): StagePath | undefined => {
    let room = 0;
    let picked: StagePath | undefined;
    for (const path of candidates) {
      const free = fullShare - computeFill(path, request.tokens, getLoad);
      if (free < 0) continue;
      const timeShare = computeTimeShare(path, request, view);
      if (timeShare > 1) continue;
      const isLocal = path.parts[0]!.endpoint.dataCentre === dataCentre;
      const weight =
        Math.min(free, 1 - timeShare) + (isLocal ? options.localBonus : 0);
      room += weight;
      if (picked === undefined || random() * room < weight) picked = path;
    }
    return picked;
  };
  const fast = paths.filter(path => path.passMilliseconds <= slowFrom);
  const met = pick(fast) ?? pick(paths);
  if (met !== undefined || !isTimed(request, view)) return met;
  return pickPath(paths, request, view);
}

/** Tells whether a path is picked by predicted times. */
function isTimed(request: PickRequest, {figures}: PickView): boolean {
  return (
    figures !== undefined &&
    isTarget(request.targetMilliseconds) &&
    isTarget(request.gapTargetMilliseconds)
  );
}

function isTarget(milliseconds: number | undefined): boolean {
  return milliseconds !== undefined && milliseconds > 0;
}

/**
 * Computes the larger share that the first event and the gaps of a new stream
 * take of their targets; above 1 a target is missed. 0 where times are not
 * predicted.
 */
function computeTimeShare(
  path: StagePath,
  request: PickRequest,
  view: PickView,
): number {
  const {figures, getLoad, getSlowness} = view;
  if (figures === undefined || !isTimed(request, view)) return 0;
  const prompt = request.promptTokens ?? figures.usualPromptTokens;
  const saved = request.savedTokens?.(path) ?? 0;
  const times = predictPath(path, getLoad, figures, {
    added: 1,
    tokens: request.tokens,
    promptTokens: Math.max(0, prompt - saved),
  });
  const share = Math.max(
    times.firstEventMilliseconds / request.targetMilliseconds!,
    times.gapMilliseconds / request.gapTargetMilliseconds!,
  );
  return share * (getSlowness?.(path) ?? 1);
}

function computeFullShare(
  {tokens, usualTokens = Infinity, reservedShare = 0}: PickRequest,
  {largeRatio, largeFullShare, fullShare}: PickOptions,
): number {
  const isLarge = tokens >= usualTokens * largeRatio;
  const reserved = Math.min(maxReservedShare, Math.max(0, reservedShare));
  return (isLarge ? largeFullShare : fullShare) - reserved;
}

/** Computes the time of a pass, in milliseconds, above which a path is much slower than others. */
function computeSlowest(
  paths: readonly StagePath[],
  {slowRatio}: PickOptions,
): number {
  let fastest = Infinity;
  for (const {passMilliseconds} of paths) {
    fastest = Math.min(fastest, passMilliseconds);
  }
  return fastest * slowRatio;
}
