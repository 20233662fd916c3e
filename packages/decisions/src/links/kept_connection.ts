import {
  millisecondsPerSecond,
  type Deadline,
  type Instant,
} from '@zinniaspindle/shared';

/** Why a connection to an endpoint is not kept, or not kept any longer. */
export enum DropReason {
  /** The answer, or the end of the connection, allows no further request. */
  Closed = 'closed',
  /** Bytes came that belong to no request. */
  ExtraBytes = 'extraBytes',
  /** Its endpoint may close it soon. */
  Expired = 'expired',
  /** Its endpoint restarted, moved or was removed. */
  Replaced = 'replaced',
  /** Its endpoint leaves, pauses, is suspected or not reached by this VM. */
  Unwanted = 'unwanted',
  /** More connections were idle than may be. */
  Excess = 'excess',
  /** A request on it got no usable answer. */
  Failed = 'failed',
}

/** How an answer ended that may be followed by another one on its connection. */
export interface AnswerEnd {
  /** Whether a length or chunks state where the answer ends. */
  readonly isFramed: boolean;
  /** The `Connection` header of the answer. */
  readonly connection: string | undefined;
  /** The `Keep-Alive` header of the answer. */
  readonly keepAlive: string | undefined;
  /** Whether the endpoint wants nothing more, for now or for good. */
  readonly isUnwanted: boolean;
  /** Whether bytes came after the answer. */
  readonly hasExtraBytes: boolean;
}

/** An endpoint, as far as it matters for its idle connections. */
export interface KeptEndpoint {
  readonly address: string;
  readonly bornAt: Instant;
  /** Whether it takes requests and this VM reaches it. */
  readonly isWanted: boolean;
}

/** What is known of an idle connection. */
export interface IdleConnection {
  readonly address: string;
  /** When the endpoint started that the connection was opened to. */
  readonly bornAt: Instant;
  /** It is used before this instant only. */
  readonly until: Deadline;
}

/**
 * Time before the endpoint's own time-out at which a connection is dropped: longer
 * than a round trip and a pause of a slow VM.
 */
const marginMilliseconds = 500;
/** How long a connection is kept whose endpoint states no time-out. */
const unstatedMilliseconds = 1000;
/** Longer kept connections would count against the endpoint's limit, unused. */
const maxIdleMilliseconds = 5000;

const timeoutPattern = /^timeout *= *"?(\d+)"?$/i;
const closePattern = /(?:^|,)\s*close\s*(?:,|$)/i;

/**
 * Computes how long a connection may be idle after an answer; 0 if it is not
 * kept.
 */
export function computeIdleMilliseconds(keepAlive: string | undefined): number {
  for (const parameter of (keepAlive ?? '').split(',')) {
    const [, seconds] = timeoutPattern.exec(parameter.trim()) ?? [];
    if (seconds === undefined) continue;
    const stated = Number(seconds) * millisecondsPerSecond;
    return Math.max(
      0,
      Math.min(maxIdleMilliseconds, stated - marginMilliseconds),
    );
  }
  return unstatedMilliseconds;
}

/** Finds why a connection is not kept after an answer, if there is a reason. */
export function findEndReason(end: AnswerEnd): DropReason | undefined {
  if (end.hasExtraBytes) return DropReason.ExtraBytes;
  if (!end.isFramed) return DropReason.Closed;
  if (closePattern.test(end.connection ?? '')) return DropReason.Closed;
  if (end.isUnwanted) return DropReason.Unwanted;
  if (computeIdleMilliseconds(end.keepAlive) === 0) return DropReason.Expired;
  return undefined;
}

/**
 * Finds why an idle connection is dropped, if there is a reason.
 * @param connection the idle connection
 * @param endpoint the endpoint as it is known now; undefined if it was removed
 * @param now the present
 */
export function findDropReason(
  connection: IdleConnection,
  endpoint: KeptEndpoint | undefined,
  now: Instant,
): DropReason | undefined {
  const isSame =
    endpoint?.address === connection.address &&
    endpoint.bornAt === connection.bornAt;
  if (!isSame) return DropReason.Replaced;
  if (!endpoint.isWanted) return DropReason.Unwanted;
  return connection.until <= now ? DropReason.Expired : undefined;
}
