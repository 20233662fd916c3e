import type {Instant} from '@zinniaspindle/shared';

/** Whose answer came from the address of an endpoint. */
export enum Answerer {
  /** The process that was asked. */
  Asked = 'asked',
  /** A later process of the same endpoint: the one that was asked has ended. */
  Successor = 'successor',
  /** A process of another endpoint: the one that was asked has ended. */
  Other = 'other',
  /** Nobody's, since nothing listens: the process that was asked has ended. */
  Nobody = 'nobody',
  /** It cannot be told, or the answer is not that to this call. */
  Unknown = 'unknown',
}

/** The process that a call is meant for. */
export interface AskedProcess {
  /** Id of its endpoint. */
  readonly id: string;
  /** Undefined if its start is not known. */
  readonly bornAt: Instant | undefined;
  /**
   * Whether this very process is known to have had the address. A peer may have told
   * of a later one, which may be at another address.
   */
  readonly hasAddress: boolean;
  /** Name of its accelerator kind; undefined for services without a model. */
  readonly kind?: string | undefined;
  /** Names of its models, as far as stated. */
  readonly models?: readonly string[] | undefined;
}

/** A call, and how it was sent. */
export interface EndpointCall {
  readonly asked: AskedProcess;
  /** Its id; undefined for a call without one. */
  readonly callId?: string | undefined;
  /** Whether its connection has had an answer to an earlier call. */
  readonly isKept?: boolean;
  /** Whether it went through a peer, which may know another address. */
  readonly isRelayed: boolean;
  /** Whether it names a path, whose further endpoints may be why it is refused. */
  readonly hasPath?: boolean;
}

/** What an answer states about the process that gave it. */
export interface ProcessClaims {
  /** Id of the call that it answers; undefined if it states none. */
  readonly callId?: string | undefined;
  /** Whether it refuses the call because it was meant for another endpoint. */
  readonly isMisdirected: boolean;
  /**
   * Whether it refuses the call as a request without an id. Endpoints of a model
   * answer calls for a report as such.
   */
  readonly isTakenForRequest?: boolean;
  /** Id of the endpoint; undefined if it is not stated. */
  readonly endpointId?: string | undefined;
  /** Start of the process; only a report states it. */
  readonly bornAt?: Instant | undefined;
  /** Name of the accelerator kind; undefined if it is not stated. */
  readonly kind?: string | undefined;
  /** Names of the models; undefined if they are not stated. */
  readonly models?: readonly string[] | undefined;
}

/**
 * Tells whether an answer may be that to a call. On a kept connection the answer to
 * an earlier call may come late or twice, and only the id tells them apart.
 */
export function canBeAnswerTo(
  {callId, isKept = false}: Pick<EndpointCall, 'callId' | 'isKept'>,
  answered: string | undefined,
): boolean {
  if (callId !== undefined) return answered === callId;
  return !isKept || answered === undefined;
}

/**
 * Finds whose answer came on a call.
 * @param claims what the answer states; undefined if nothing listens
 */
export function findAnswerer(
  call: EndpointCall,
  claims: ProcessClaims | undefined,
): Answerer {
  const {asked, isRelayed} = call;
  const isCertain = asked.hasAddress && !isRelayed;
  if (claims === undefined) {
    return asked.hasAddress ? Answerer.Nobody : Answerer.Unknown;
  }
  if (!canBeAnswerTo(call, claims.callId)) return Answerer.Unknown;
  if (isOfOther(call, claims)) {
    return isCertain ? Answerer.Other : Answerer.Unknown;
  }
  const {bornAt} = claims;
  if (bornAt === undefined) return Answerer.Unknown;
  if (asked.bornAt === undefined) return Answerer.Asked;
  if (bornAt === asked.bornAt) return Answerer.Asked;
  // A clock that was set back may state this, and so may an earlier answer.
  if (bornAt < asked.bornAt) return Answerer.Unknown;
  return Answerer.Successor;
}

/** Tells whether an answer shows that the process that was asked has ended. */
export function isEndOfAsked(answerer: Answerer): boolean {
  switch (answerer) {
    case Answerer.Successor:
    case Answerer.Other:
    case Answerer.Nobody:
      return true;
    case Answerer.Asked:
    case Answerer.Unknown:
      return false;
  }
}

/**
 * Tells whether a process of another endpoint has answered. If the call went through
 * a peer, the one that was asked may still be at its address.
 */
export function isOfOther(
  {asked, hasPath = false}: Pick<EndpointCall, 'asked' | 'hasPath'>,
  claims: ProcessClaims,
): boolean {
  const {endpointId, isMisdirected, bornAt} = claims;
  const {isTakenForRequest = false} = claims;
  if (endpointId !== undefined) return endpointId !== asked.id;
  if (isMisdirected && !hasPath) return true;
  if (isTakenForRequest && isOfModel(asked)) return true;
  const isLater =
    bornAt !== undefined && asked.bornAt !== undefined && bornAt > asked.bornAt;
  return isLater && !isAlike(asked, claims);
}

function isOfModel({kind, models = []}: AskedProcess): boolean {
  return kind !== undefined || models.length > 0;
}

/**
 * Tells whether a process may be of the same endpoint. Builds that do not know which
 * endpoint a call is meant for answer all calls.
 */
function isAlike(
  asked: Pick<AskedProcess, 'kind' | 'models'>,
  {kind, models = []}: Pick<ProcessClaims, 'kind' | 'models'>,
): boolean {
  if (kind !== undefined && kind !== asked.kind) return false;
  const known = asked.models ?? [];
  if (known.length === 0 || models.length === 0) return true;
  return models.some(name => known.includes(name));
}
