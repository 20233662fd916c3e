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

/** Folds a record of the log; only leases of known resources matter. */
export function foldLease(turn: LeasesTurn, record: CommittedRecord): void {
  const {body} = record;
  if (body.kind !== RecordKind.Lease) return;
  const resource = turn.state.resources.get(body.resource);
  if (!resource) return;
  const own = record.writer === turn.state.options.writer;
  if (own) delete resource.pending;
  const current = findRetained(turn, resource, record);
  if (!isValidLease(turn, current, record, body)) {
    if (own) addLostEvent(turn, resource, 'another lease record was first');
    return;
  }
  const before = resource.current;
  resource.current = buildLease(before, record, body);
  if (before?.writer === record.writer) delete resource.takeAt;
  else dropTimers(resource);
  if (isOwnLease(turn.state, resource)) acceptLease(turn, resource);
  else dropLease(turn, resource, `taken by ${body.holder}`);
}

/** Tells the host that a lease is lost, if it was held. */
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
 * A lease record counts if it follows a later lease than the current one
 * does. For a reader without gaps that is the current lease itself; another
 * reader learns of a lease that it could not read. From another process it
 * must also have been stored after the current lease had ended.
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

/** Finds the current lease, unless the log dropped its record by then. */
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
    dropLease(turn, resource, 'given back or read back too late');
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
  const {draining, takesAllowedAt: takesFrom} = turn.state;
  if (draining || turn.now < takesFrom) return false;
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
