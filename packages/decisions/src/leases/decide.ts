import type {Instant, CodedError, Random} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {SubmitOutcome, type SubmitToken} from '../log/journal_types.js';
import type {Step} from '../step.js';
import {startTurn, toStep} from '../turn.js';
import {foldLease, dropLease} from './folding.js';
import {
  LeaseInputKind,
  type LeaseCommand,
  type LeaseInput,
} from './messages.js';
import {LeaseGuard} from './options.js';
import {isLeaseGuarded, type LeasesState, type LeasesTurn} from './state.js';
import {releaseLease, updateLease} from './takes.js';

/** Decides which VM holds each resource, by the order of lease records in the log. */
export function decideLeases(
  state: LeasesState,
  input: LeaseInput,
  now: Instant,
  random: Random,
): Result<Step<LeasesState, LeaseCommand>, CodedError<never>> {
  const turn: LeasesTurn = startTurn(state, now, random);
  applyInput(turn, input);
  return Result.ok(toStep(turn));
}

function applyInput(turn: LeasesTurn, input: LeaseInput): void {
  switch (input.kind) {
    case LeaseInputKind.Drain:
      startDrain(turn);
      return;
    case LeaseInputKind.Folded:
      foldLease(turn, input.record);
      return;
    case LeaseInputKind.ReadyChanged:
      setReady(turn, input.ready);
      return;
    case LeaseInputKind.SubmitResolved:
      applySubmitOutcome(turn, input.token, input.outcome);
      return;
    case LeaseInputKind.Tick:
      for (const resource of turn.state.resources.values()) {
        updateLease(turn, resource);
      }
      return;
    case LeaseInputKind.VmsChanged:
      turn.state.live = input.live;
      return;
  }
}

/**
 * Handles a change of readiness. Lease records that this VM could not read are
 * older than now, so that their leases have expired after one lease duration plus
 * the clock skew.
 */
function setReady(turn: LeasesTurn, ready: boolean): void {
  const {state} = turn;
  state.ready = ready;
  // The outcome of pending submissions may be among the records that were not read.
  for (const resource of state.resources.values()) delete resource.pending;
  if (!isLeaseGuarded(state, LeaseGuard.WaitsForUnread)) return;
  const {leaseMilliseconds, maxSkewMilliseconds} = state.options;
  state.takesAllowedAt = turn.now + leaseMilliseconds + maxSkewMilliseconds;
}

function startDrain(turn: LeasesTurn): void {
  turn.state.draining = true;
  for (const resource of turn.state.resources.values()) {
    if (!resource.held) continue;
    // A release would follow the same record as the pending renewal, and only the first counts.
    if (resource.pending === undefined) {
      releaseLease(turn, resource, 'this VM is stopping');
    } else {
      dropLease(turn, resource, 'this VM is stopping');
    }
  }
}

function applySubmitOutcome(
  turn: LeasesTurn,
  token: SubmitToken,
  outcome: SubmitOutcome,
): void {
  // A committed record takes effect when it is folded, in log order.
  if (outcome === SubmitOutcome.Committed) return;
  for (const resource of turn.state.resources.values()) {
    if (resource.pending === token) delete resource.pending;
  }
}
