import {hasAllLayers, type LayerRange} from '@zinniaspindle/shared';

/** What an endpoint shows of itself after the end of a connection to it. */
export enum SourceState {
  /** The process that the request was sent to answers. */
  Alive = 'alive',
  /** Nothing listens at its address, or another process does. */
  Ended = 'ended',
  /** It has not answered in time. */
  Unknown = 'unknown',
}

/**
 * What the regular end of a connection says of an answer that has neither a length
 * nor chunks; the texts are for the log.
 */
export enum UnframedVerdict {
  Whole = 'whole',
  SourceEnded = 'the endpoint ended with the connection',
  SourceUnknown = 'the endpoint did not answer after the end of the connection',
  AfterStall = 'it came after a silence like that of a stalled path',
  PartEnded = 'a further endpoint of its path has ended',
  PartUnknown = 'a further endpoint of its path did not answer after the end',
  Ordered = 'an order may have cut it off',
}

/** An order to an endpoint, accepted or not, that this VM knows of. */
export interface KnownOrder {
  /** The number that it has, or would have, among the endpoint's orders. */
  readonly orderCount: number;
  /** The layers that the endpoint is to hold. */
  readonly range: LayerRange;
  /** Whether it cuts off the requests that use dropped layers. */
  readonly cutsRequests: boolean;
}

/** What an endpoint reported of its layers and orders. */
export interface StageReport {
  readonly orderCount: number;
  readonly held: LayerRange | undefined;
  /** Whether it shows the state at the end of the answer or a later one. */
  readonly isOfEnd: boolean;
}

/** What is known of one endpoint of the path of an answer. */
export interface StageEvidence {
  /** The layers that it ran for the request. */
  readonly layers: LayerRange;
  /** What it showed of itself after the end. */
  readonly state: SourceState;
  /** Its orders, as far as known, when the request was sent. */
  readonly sentAtCount: number;
  /** Undefined if it has not answered with a report. */
  readonly report: StageReport | undefined;
  readonly orders: readonly KnownOrder[];
}

/** What is known when a connection with an answer without a length has ended. */
export interface UnframedEvidence {
  readonly silence: EndSilence;
  /** What the endpoint that gave the answer showed of itself after the end. */
  readonly source: SourceState;
  /** The endpoints of its path, the first included; none for a plain service. */
  readonly parts: readonly StageEvidence[];
}

/** The silence of an answer before its end. */
export interface EndSilence {
  readonly milliseconds: number;
  /** Whether the answer depended on further endpoints. */
  readonly isOfPath: boolean;
  /**
   * Time for which an endpoint waits for another one that is gone, before it ends
   * the answer.
   */
  readonly stallMilliseconds: number;
}

/**
 * Share of the stall time from which a silence counts as a stall: the last bytes may
 * be on their way for longer than the end.
 */
const stallShare = 0.6;

/**
 * Tells whether an endpoint may have ended an answer because another endpoint of its
 * path was gone. It is sound itself, so that only the silence shows this.
 */
export function isAfterStall(silence: EndSilence): boolean {
  const {milliseconds, isOfPath, stallMilliseconds} = silence;
  return isOfPath && milliseconds >= stallShare * stallMilliseconds;
}

/**
 * Verifies the end of an answer that has neither a length nor chunks. A system ends
 * the connections of a killed process in the regular way, and an endpoint ends those
 * of requests that it cuts off as it ends those of whole answers. So the answer is
 * whole only if nothing else explains the end: each endpoint of its path has outlived
 * it, and none has accepted an order that may have cut it off.
 */
export function verifyUnframedEnd({
  silence,
  source,
  parts,
}: UnframedEvidence): UnframedVerdict {
  if (isAfterStall(silence)) return UnframedVerdict.AfterStall;
  if (source === SourceState.Ended) return UnframedVerdict.SourceEnded;
  if (source === SourceState.Unknown) return UnframedVerdict.SourceUnknown;
  for (const {state} of parts) {
    if (state === SourceState.Ended) return UnframedVerdict.PartEnded;
    if (state === SourceState.Unknown) return UnframedVerdict.PartUnknown;
  }
  return parts.some(canHaveCut)
    ? UnframedVerdict.Ordered
    : UnframedVerdict.Whole;
}

/** Tells whether an endpoint can have cut off a request on an order. */
function canHaveCut(part: StageEvidence): boolean {
  const {layers, sentAtCount, report, orders} = part;
  if (report === undefined) return true;
  const {orderCount, held, isOfEnd} = report;
  const later = orders.filter(order => order.orderCount > sentAtCount);
  // Without a report of the end, it may have accepted any of them since.
  const possible = isOfEnd
    ? later.filter(order => order.orderCount <= orderCount)
    : later;
  if (possible.some(order => canCutOff(order, layers))) return true;
  const accepted = later.filter(order => order.orderCount <= orderCount);
  const known = new Set(accepted.map(order => order.orderCount));
  const unknown = orderCount - sentAtCount - known.size;
  if (unknown <= 0) return false;
  // What one order gives up, a later one may have loaded again.
  const isLatest = unknown === 1 && !known.has(orderCount);
  return !isLatest || !hasAllLayers(held, layers);
}

/** Tells whether an order cuts off the requests that use some layers. */
function canCutOff(
  {range, cutsRequests}: KnownOrder,
  layers: LayerRange,
): boolean {
  return cutsRequests && !hasAllLayers(range, layers);
}
