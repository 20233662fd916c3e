import type {Deadline} from '@zinniaspindle/shared';
import {MembershipEvent} from '@zinniaspindle/shared';
import {formatUpdateKey} from './news.js';
import type {Turn} from './state.js';

/** Returns the deadline a length away, longer while this VM is slow. */
export function computeDeadline(turn: Turn, milliseconds: number): Deadline {
  const {patientUntil, options} = turn.state;
  const degraded = turn.now < patientUntil;
  return turn.now + milliseconds * (degraded ? options.localHealthFactor : 1);
}

/** Notices a late tick: then others' silence may be this VM's own. */
export function checkLateness(turn: Turn): void {
  const {state, now} = turn;
  const {options} = state;
  const lag = now - (state.nextTickAt ?? now);
  state.nextTickAt = now + options.tickMilliseconds;
  if (!options.guards.localHealth || lag < options.lateTickMilliseconds) return;
  state.patientUntil = now + options.degradedMilliseconds;
  state.lastHeardAt += lag;
  const fields = {lateMilliseconds: lag, until: state.patientUntil};
  turn.logEvents.push({event: MembershipEvent.TickLate, fields});
  for (const probe of state.probes.values()) {
    probe.expiresAt = computeDeadline(
      turn,
      options.directProbeTimeoutMilliseconds,
    );
  }
  for (const peer of state.peers.values()) {
    if (peer.suspectUntil === undefined) continue;
    peer.suspectUntil = computeDeadline(turn, options.suspicionMilliseconds);
  }
}

/** Tells whether no peer was heard for so long that this VM is cut off. */
export function isIsolated(turn: Turn): boolean {
  return turn.state.isolated && turn.state.options.guards.isolation;
}

/** Notices that no peer was heard for long. */
export function checkIsolation(turn: Turn): void {
  const {state, now} = turn;
  if (state.isolated || state.peers.size === 0) return;
  const since = state.lastHeardAt;
  if (now < since + state.options.isolationMilliseconds) return;
  state.isolated = true;
  turn.logEvents.push({event: MembershipEvent.Isolated, fields: {since}});
  if (!state.options.guards.isolation) return;
  for (const peer of state.peers.values()) {
    if (peer.suspectedAt === undefined || peer.suspectedAt < since) continue;
    peer.unshared = true;
    state.queue.delete(formatUpdateKey(peer.update.vm));
  }
}
