import type {EndpointId} from '@zinniaspindle/shared';
import {MembershipEvent} from '@zinniaspindle/shared';
import type {EndpointNotice} from './messages.js';
import {LeavingSource} from './messages.js';
import {addNoticeGossip, hashNotice, sendNewGossip} from './gossip.js';
import type {MembershipState, Turn} from './state.js';
import {MembershipCommandKind} from './state.js';

/** Applies a notice that this VM itself got from a source. */
export function applyLocalNotice(turn: Turn, notice: EndpointNotice): void {
  const {state} = turn;
  const current = state.notices.get(formatNoticeKey(notice))?.notice;
  if (current === undefined && !notice.leaving) return;
  if (current !== undefined && isOlder(notice, current)) return;
  const unchanged = current?.leaving === notice.leaving;
  const refreshAt =
    (current?.time ?? 0) + state.options.noticeTtlMilliseconds / 2;
  if (unchanged && notice.time < refreshAt) return;
  recordNotice(turn, notice);
  // Every VM reads the list and the configuration itself, but only a few poll
  // an engine, so the others need the refreshed notice.
  const polledByFew = notice.source === LeavingSource.Engine;
  if (unchanged && !polledByFew) return;
  addNoticeGossip(turn, notice);
  sendNewGossip(turn);
}

/** Applies a notice that a peer gossiped. */
export function applyPeerNotice(turn: Turn, notice: EndpointNotice): void {
  const {state, now} = turn;
  if (notice.time + state.options.noticeTtlMilliseconds <= now) return;
  const current = state.notices.get(formatNoticeKey(notice))?.notice;
  if (current !== undefined && isOlder(notice, current)) return;
  recordNotice(turn, notice);
  if (current?.leaving === notice.leaving) return;
  addNoticeGossip(turn, notice);
}

/** Removes notices that were not refreshed in time. */
export function expireNotices(turn: Turn): void {
  for (const [key, stored] of turn.state.notices) {
    if (turn.now < stored.expiresAt) continue;
    turn.state.notices.delete(key);
    turn.state.viewHash ^= hashNotice(stored.notice);
    if (stored.notice.leaving) reportStaying(turn, stored.notice);
  }
}

/** Lists the endpoints that are leaving according to any source. */
export function listLeavingEndpoints(state: MembershipState): EndpointId[] {
  const endpoints = new Set<EndpointId>();
  for (const {notice} of state.notices.values()) {
    if (notice.leaving) endpoints.add(notice.endpoint);
  }
  return [...endpoints];
}

function recordNotice(turn: Turn, notice: EndpointNotice): void {
  const {state} = turn;
  const key = formatNoticeKey(notice);
  const previous = state.notices.get(key)?.notice;
  const wasLeaving = isLeaving(state, notice.endpoint);
  const expiresAt = notice.time + state.options.noticeTtlMilliseconds;
  state.notices.set(key, {notice, expiresAt});
  if (previous !== undefined) state.viewHash ^= hashNotice(previous);
  state.viewHash ^= hashNotice(notice);
  if (notice.leaving && !wasLeaving) reportLeaving(turn, notice);
  if (!notice.leaving && wasLeaving) reportStaying(turn, notice);
}

function reportLeaving(turn: Turn, notice: EndpointNotice): void {
  const {endpoint, source} = notice;
  turn.commands.push({kind: MembershipCommandKind.EndpointLeaving, endpoint});
  const fields = {endpoint, source};
  turn.logEvents.push({event: MembershipEvent.EndpointLeaving, fields});
}

function reportStaying(turn: Turn, notice: EndpointNotice): void {
  const {endpoint, source} = notice;
  if (isLeaving(turn.state, endpoint)) return;
  turn.commands.push({kind: MembershipCommandKind.EndpointStaying, endpoint});
  const fields = {endpoint, source};
  turn.logEvents.push({
    event: MembershipEvent.EndpointLeavingCancelled,
    fields,
  });
}

function isLeaving(state: MembershipState, endpoint: EndpointId): boolean {
  for (const source of Object.values(LeavingSource)) {
    const stored = state.notices.get(formatNoticeKey({endpoint, source}));
    if (stored?.notice.leaving === true) return true;
  }
  return false;
}

/** Of two notices with the same time, the one that says leaving wins. */
function isOlder(notice: EndpointNotice, current: EndpointNotice): boolean {
  if (notice.time !== current.time) return notice.time < current.time;
  return current.leaving || !notice.leaving;
}

function formatNoticeKey(
  notice: Pick<EndpointNotice, 'endpoint' | 'source'>,
): string {
  return `${notice.endpoint}/${notice.source}`;
}
