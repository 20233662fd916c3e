import type {Instant} from '@zinniaspindle/shared';

/** Why a VM finds an endpoint failing. */
export enum DoubtCause {
  /** It does not answer. */
  Silent = 'silent',
  /** It refuses requests though it has room. */
  Refusing = 'refusing',
}

/** A VM's word against an endpoint. */
export interface Accuser {
  readonly at: Instant;
  readonly cause: DoubtCause;
}

/** What speaks against an endpoint. */
export interface EndpointDoubt {
  /** Direct questions in a row that got no answer. */
  failedProbes: number;
  /** Requests in a row that it refused though it said that it has room. */
  refusals: number;
  refusedAt: Instant;
  /** VMs that found it failing, and what they last said. */
  readonly accusers: Map<string, Accuser>;
}

/** When doubts become certain. */
export interface DoubtOptions {
  readonly neededProbes: number;
  readonly neededRefusals: number;
  /** Refusals further apart are not in a row. */
  readonly refusalMilliseconds: number;
  /** Accusations count for this long. */
  readonly accusationMilliseconds: number;
}

/** A lost packet fails one question; a full endpoint refuses one request. */
export const defaultDoubtOptions: DoubtOptions = {
  neededProbes: 2,
  neededRefusals: 2,
  refusalMilliseconds: 2000,
  accusationMilliseconds: 3000,
};

/** Creates the doubt of an endpoint that nothing speaks against. */
export function createDoubt(): EndpointDoubt {
  return {
    failedProbes: 0,
    refusals: 0,
    refusedAt: -Infinity,
    accusers: new Map(),
  };
}

/** Records a refusal of an endpoint that has room. */
export function recordRefusal(
  doubt: EndpointDoubt,
  now: Instant,
  options: DoubtOptions = defaultDoubtOptions,
): void {
  const isInRow = now - doubt.refusedAt < options.refusalMilliseconds;
  doubt.refusals = isInRow ? doubt.refusals + 1 : 1;
  doubt.refusedAt = now;
}

/** Tells whether this VM itself found the endpoint failing. */
export function isFailing(
  doubt: EndpointDoubt,
  now: Instant,
  options: DoubtOptions = defaultDoubtOptions,
): boolean {
  if (doubt.failedProbes >= options.neededProbes) return true;
  if (now - doubt.refusedAt >= options.accusationMilliseconds) return false;
  return doubt.refusals >= options.neededRefusals;
}

/**
 * Tells whether an endpoint counts as lost. One VM may itself be cut off from
 * it, so that a second must agree; while this VM reaches it, silence counts
 * only from most VMs. A VM without peers has only its own word.
 */
export function isLost(
  doubt: EndpointDoubt,
  peers: number,
  now: Instant,
  options: DoubtOptions = defaultDoubtOptions,
): boolean {
  const isOwn = isFailing(doubt, now, options);
  let refused = 0;
  let silent = 0;
  for (const [vm, {at, cause}] of doubt.accusers) {
    if (now - at >= options.accusationMilliseconds) doubt.accusers.delete(vm);
    else if (cause === DoubtCause.Refusing) refused += 1;
    else silent += 1;
  }
  if (isOwn) return refused + silent >= Math.min(1, peers);
  return refused >= 2 || silent > peers / 2;
}
