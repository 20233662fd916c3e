import type {Deadline} from '@zinniaspindle/shared';
import {MembershipEvent} from '@zinniaspindle/shared';
import {formatUpdateKey} from './gossip.js';
import type {Turn} from './state.js';

/**
 * Computes a deadline from a timeout, which is extended while this VM is slow.
 */
export function computeDeadline(turn: Turn, milliseconds: number): Deadline {
  const {degradedUntil, options} = turn.state;
  const degraded = turn.now < degradedUntil;
  return turn.now + milliseconds * (degraded ? options.localHealthFactor : 1);
}

/**
 * Detects a late tick, and restarts the timeouts of probes and suspicions with
 * extended lengths: the silence of peers may be due to a stall of this VM.
 */
export function checkTickDelay(turn: Turn): void {
  const {state, now} = turn;
  const {options} = state;
  const lag = now - (state.nextTickAt ?? now);
  state.nextTickAt = now + options.tickMilliseconds;
  if (!options.guards.localHealth || lag < options.lateTickMilliseconds) return;
  state.degradedUntil = now + options.degradedMilliseconds;
  state.anyContactAt += lag;
  const fields = {lateMilliseconds: lag, until: state.degradedUntil};
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

/** Tells whether this VM lost contact with all peers. */
export function isIsolated(turn: Turn): boolean {
  return turn.state.isolated && turn.state.options.guards.isolation;
}

/**
 * Detects that this VM lost contact with all peers, and withholds suspicions
 * that it formed since the last contact.
 */
export function checkIsolation(turn: Turn): void {
  const {state, now} = turn;
  if (state.isolated || state.peers.size === 0) return;
  const since = state.anyContactAt;
  if (now < since + state.options.isolationMilliseconds) return;
  state.isolated = true;
  turn.logEvents.push({event: MembershipEvent.Isolated, fields: {since}});
  if (!state.options.guards.isolation) return;
  for (const peer of state.peers.values()) {
    if (peer.suspectedAt === undefined || peer.suspectedAt < since) continue;
    peer.withheld = true;
    state.gossipQueue.delete(formatUpdateKey(peer.update.vm));
  }
}
