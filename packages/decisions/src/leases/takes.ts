import {
  isPast,
  PlacementEvent,
  toId,
  type Deadline,
} from '@zinniaspindle/shared';
import {RecordKind} from '../log/records.js';
import {pickRanked} from '../hashing/rendezvous.js';
import {dropLease} from './folding.js';
import {LeaseCommandKind} from './messages.js';
import {LeaseGuard} from './options.js';
import {
  isLeaseGuarded,
  isOwnLease,
  type LeasedResource,
  type LeasesTurn,
} from './state.js';

/** Rank from which on the delay before a take no longer grows. */
const maxWaitingRank = 8;

/** Expires, releases, renews or takes the lease of a resource when that is due. */
export function updateLease(turn: LeasesTurn, resource: LeasedResource): void {
  const {current} = resource;
  if (current && isPast(current.expiresAt, turn.now)) {
    dropLease(turn, resource, 'expired before its renewal');
  }
  if (resource.pending !== undefined) return;
  if (turn.state.draining) {
    releaseUnusedLease(turn, resource);
    return;
  }
  if (resource.held) updateHeldLease(turn, resource);
  else takeFreeLease(turn, resource);
}

/** Releases a held lease. Orders sent under it may take effect until its original expiry. */
export function releaseLease(
  turn: LeasesTurn,
  resource: LeasedResource,
  reason: string,
): void {
  dropLease(turn, resource, reason);
  const giveUpAt = resource.current?.expiresAt ?? turn.now;
  sendLease(turn, resource, turn.now, giveUpAt);
}

/** Releases a lease whose renewal was pending when the drain began. */
function releaseUnusedLease(turn: LeasesTurn, resource: LeasedResource): void {
  if (!resource.current || !isOwnLease(turn.state, resource)) return;
  if (isPast(resource.current.expiresAt, turn.now)) return;
  releaseLease(turn, resource, 'this VM is stopping');
}

function updateHeldLease(turn: LeasesTurn, resource: LeasedResource): void {
  const {current} = resource;
  if (!current) return;
  if (isYieldDue(turn, resource)) {
    releaseLease(turn, resource, 'another VM is preferred');
    return;
  }
  const {leaseMilliseconds, renewMilliseconds} = turn.state.options;
  if (turn.now < current.expiresAt - renewMilliseconds) return;
  const expiresAt = turn.now + leaseMilliseconds;
  sendLease(turn, resource, expiresAt, current.expiresAt);
}

function isYieldDue(turn: LeasesTurn, resource: LeasedResource): boolean {
  const {options} = turn.state;
  if (findRank(turn, resource) === 0) {
    delete resource.yieldAt;
    return false;
  }
  resource.yieldAt ??= turn.now + options.yieldMilliseconds;
  return isPast(resource.yieldAt, turn.now);
}

function takeFreeLease(turn: LeasesTurn, resource: LeasedResource): void {
  const {state} = turn;
  if (!state.ready || turn.now < state.takesAllowedAt) return;
  const {jitterMilliseconds, leaseMilliseconds, rankMilliseconds} =
    state.options;
  if (turn.now < computeFreeAt(turn, resource)) return;
  const rank = Math.min(findRank(turn, resource), maxWaitingRank);
  const delay = rank * rankMilliseconds + turn.random() * jitterMilliseconds;
  resource.takeAt ??= turn.now + delay;
  if (!isPast(resource.takeAt, turn.now)) return;
  delete resource.takeAt;
  const expiresAt = turn.now + leaseMilliseconds;
  sendLease(turn, resource, expiresAt, expiresAt);
  turn.logEvents.push({
    event: PlacementEvent.LeaseRequested,
    fields: {resource: resource.resource, rank},
  });
}

/** Computes when the current lease has expired on its holder's clock, allowing for skew. */
function computeFreeAt(turn: LeasesTurn, resource: LeasedResource): Deadline {
  const {current} = resource;
  if (!current) return 0;
  if (!isLeaseGuarded(turn.state, LeaseGuard.WaitsForExpiry)) return 0;
  return current.expiresAt + turn.state.options.maxSkewMilliseconds;
}

/** Computes this VM's rank for a resource; the VM of rank 0 is preferred. */
function findRank(turn: LeasesTurn, resource: LeasedResource): number {
  const {live, options} = turn.state;
  const ranked = pickRanked(resource.resource, live, live.length);
  const rank = ranked.indexOf(options.vm);
  return rank < 0 ? ranked.length : rank;
}

function sendLease(
  turn: LeasesTurn,
  resource: LeasedResource,
  expiresAt: Deadline,
  giveUpAt: Deadline,
): void {
  const {state} = turn;
  resource.pending = toId(`lease/${state.nextToken}`);
  state.nextToken += 1;
  turn.commands.push({
    kind: LeaseCommandKind.SubmitRecord,
    token: resource.pending,
    body: {
      kind: RecordKind.Lease,
      resource: resource.resource,
      holder: state.options.vm,
      follows: resource.current?.offset ?? -1,
      expiresAt,
    },
    giveUpAt,
  });
}
