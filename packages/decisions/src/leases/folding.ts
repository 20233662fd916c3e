import {PlacementEvent} from '@zinniaspindle/shared';
import {
  RecordKind,
  type LeaseRecord,
  type CommittedRecord,
} from '../log/records.js';
import {LeaseCommandKind} from './messages.js';
import {LeaseGuard} from './options.js';
import {
  isLeaseGuarded,
  isOwnLease,
  type CurrentLease,
  type LeasedResource,
  type LeasesTurn,
} from './state.js';

/** Applies a record of the log; ignores all but leases of known resources. */
export function foldLease(turn: LeasesTurn, record: CommittedRecord): void {
  const {body} = record;
  if (body.kind !== RecordKind.Lease) return;
  const resource = turn.state.resources.get(body.resource);
  if (!resource) return;
  const own = record.writer === turn.state.options.writer;
  if (own) delete resource.pending;
  const current = findRetained(turn, resource, record);
  if (!isValidLease(turn, current, record, body)) {
    if (own) addLostEvent(turn, resource, 'another lease record was earlier');
    return;
  }
  const before = resource.current;
  resource.current = buildLease(before, record, body);
  if (before?.writer === record.writer) delete resource.takeAt;
  else dropTimers(resource);
  if (isOwnLease(turn.state, resource)) acceptLease(turn, resource);
  else dropLease(turn, resource, `taken by ${body.holder}`);
}

/** Ends a lease that is held and notifies the host. */
export function dropLease(
  turn: LeasesTurn,
  resource: LeasedResource,
  reason: string,
): void {
  if (!resource.held) return;
  resource.held = false;
  turn.commands.push({
    kind: LeaseCommandKind.Lost,
    resource: resource.resource,
  });
  addLostEvent(turn, resource, reason);
}

/**
 * Tells whether a lease record is valid: it must follow a later record than the
 * current lease does. For a reader without gaps, that is the current lease
 * itself; with gaps, it may be a lease that the reader missed. A record of
 * another process must also have been stored after the current lease expired.
 */
function isValidLease(
  turn: LeasesTurn,
  current: CurrentLease | undefined,
  record: CommittedRecord,
  body: LeaseRecord,
): boolean {
  if (!current) return true;
  if (body.follows <= current.follows) return false;
  if (current.writer === record.writer) return true;
  if (!isLeaseGuarded(turn.state, LeaseGuard.WaitsForExpiry)) return true;
  return record.time >= current.expiresAt;
}

/** Returns the current lease unless its record had left the log before this record. */
function findRetained(
  turn: LeasesTurn,
  resource: LeasedResource,
  record: CommittedRecord,
): CurrentLease | undefined {
  const {current} = resource;
  if (!current) return undefined;
  const droppedAt = current.time + turn.state.options.retentionMilliseconds;
  return record.time < droppedAt ? current : undefined;
}

function buildLease(
  before: CurrentLease | undefined,
  record: CommittedRecord,
  body: LeaseRecord,
): CurrentLease {
  const {holder, expiresAt, follows} = body;
  const sameHolder = before?.writer === record.writer;
  const earlierEnd = before?.ordersEndAt ?? 0;
  return {
    offset: record.offset,
    time: record.time,
    follows,
    writer: record.writer,
    holder,
    expiresAt,
    ordersEndAt: sameHolder ? Math.max(earlierEnd, expiresAt) : expiresAt,
    earlierOrdersEndAt: sameHolder
      ? before.earlierOrdersEndAt
      : Math.max(earlierEnd, before?.earlierOrdersEndAt ?? 0),
  };
}

function acceptLease(turn: LeasesTurn, resource: LeasedResource): void {
  const {current} = resource;
  if (!current || !isUsableLease(turn, current)) {
    dropLease(turn, resource, 'released, or read back after it expired');
    return;
  }
  if (!resource.held) {
    delete resource.yieldAt;
    turn.logEvents.push({
      event: PlacementEvent.LeaseAcquired,
      fields: {resource: resource.resource, fencing: current.offset},
    });
  }
  resource.held = true;
  turn.commands.push({
    kind: LeaseCommandKind.Held,
    lease: {
      resource: resource.resource,
      fencing: current.offset,
      expiresAt: current.expiresAt,
      earlierOrdersEndAt: current.earlierOrdersEndAt,
    },
  });
}

function isUsableLease(turn: LeasesTurn, lease: CurrentLease): boolean {
  const {draining, takesAllowedAt} = turn.state;
  if (draining || turn.now < takesAllowedAt) return false;
  return turn.now < lease.expiresAt;
}

function dropTimers(resource: LeasedResource): void {
  delete resource.takeAt;
  delete resource.yieldAt;
}

function addLostEvent(
  turn: LeasesTurn,
  resource: LeasedResource,
  reason: string,
): void {
  turn.logEvents.push({
    event: PlacementEvent.LeaseLost,
    fields: {resource: resource.resource, reason},
  });
}
