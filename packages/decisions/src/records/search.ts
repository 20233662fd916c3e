import type {Deadline, RequestId, VmId} from '@zinniaspindle/shared';
import {isPast, MembershipEvent} from '@zinniaspindle/shared';
import {dropHeld, findRecord} from './holder.js';
import {sortHolders} from './holders.js';
import {addStaleOwner} from './stale_owners.js';
import type {GetAnswerMessage} from './messages.js';
import {RecordMessageKind} from './messages.js';
import {addOwned} from './owner.js';
import type {RequestRecord} from './record.js';
import {compareOwnership} from './record.js';
import type {RecordTurn, Search} from './state.js';
import {RecordCommandKind} from './state.js';

/** Starts the search for a record unless one is running for the request. */
export function startSearch(
  turn: RecordTurn,
  request: RequestId,
  deadline: Deadline,
): void {
  if (turn.state.searches.has(request)) return;
  const search: Search = {
    request,
    deadline,
    asked: new Set(),
    answered: new Set(),
    found: new Set(),
    best: undefined,
    waitUntil: Number.POSITIVE_INFINITY,
    resendAt: 0,
  };
  turn.state.searches.set(request, search);
  sendNextGets(turn, search);
  checkSearch(turn, search);
}

/** Handles a peer's answer. */
export function handleGetAnswer(
  turn: RecordTurn,
  message: GetAnswerMessage,
): void {
  const search = turn.state.searches.get(message.request);
  if (search === undefined) return;
  search.answered.add(message.sender);
  if (message.record !== undefined) {
    search.found.add(message.sender);
    addFound(turn, search, message.record);
  }
  checkSearch(turn, search);
}

/** Resends unanswered gets, asks further peers, and ends expired searches. */
export function updateSearches(turn: RecordTurn): void {
  for (const search of turn.state.searches.values()) {
    if (turn.now >= search.resendAt) {
      sendGetsAgain(turn, search);
      if (search.best === undefined) sendNextGets(turn, search);
    }
    checkSearch(turn, search);
  }
}

function addFound(
  turn: RecordTurn,
  search: Search,
  record: RequestRecord,
): void {
  const {best} = search;
  if (best === undefined || compareOwnership(record, best) > 0) {
    search.best = record;
  }
  const wait = turn.now + turn.state.options.answerWaitMilliseconds;
  search.waitUntil = Math.min(search.waitUntil, wait);
}

function checkSearch(turn: RecordTurn, search: Search): void {
  // This VM may have received a put since the search started.
  const local = findRecord(turn, search.request);
  if (local !== undefined) addFound(turn, search, local);
  const complete = search.answered.size === search.asked.size;
  const expired = isPast(search.deadline, turn.now);
  if (search.best !== undefined) {
    const settled = isPast(search.waitUntil, turn.now);
    if (complete || settled || expired) resumeFound(turn, search, search.best);
    return;
  }
  if (complete && !expired && sendNextGets(turn, search) > 0) return;
  if (!complete && !expired) return;
  answerNotFound(turn, search);
}

function resumeFound(
  turn: RecordTurn,
  search: Search,
  found: RequestRecord,
): void {
  turn.state.searches.delete(search.request);
  const attempt = found.attempt + 1;
  const record = {...found, attempt, owner: turn.state.self.vm};
  dropHeld(turn, search.request);
  addStaleOwner(turn, found.owner, record);
  const owned = addOwned(turn, record, [...search.asked]);
  owned.resumeDeadline = Math.max(search.deadline, turn.now);
  const fields = {
    request: search.request,
    holders: search.found.size,
    attempt,
  };
  turn.logEvents.push({event: MembershipEvent.ResumeFound, fields});
}

function answerNotFound(turn: RecordTurn, search: Search): void {
  turn.state.searches.delete(search.request);
  const {request} = search;
  const asked = search.asked.size;
  const answered = search.answered.size;
  const kind = RecordCommandKind.NotFound;
  turn.commands.push({kind, request, asked, answered});
  const fields = {request, asked, answered};
  turn.logEvents.push({event: MembershipEvent.ResumeNotFound, fields});
}

/** Asks the most likely peers not asked yet; returns their number. */
function sendNextGets(turn: RecordTurn, search: Search): number {
  const {options, peers, self} = turn.state;
  let sent = 0;
  for (const {vm} of sortHolders(search.request, peers)) {
    if (sent >= options.searchFanout) break;
    if (search.asked.size >= options.maxSearchPeers) break;
    if (vm === self.vm || search.asked.has(vm)) continue;
    search.asked.add(vm);
    sendGet(turn, search, vm);
    sent += 1;
  }
  search.resendAt = turn.now + options.resendMilliseconds;
  return sent;
}

function sendGetsAgain(turn: RecordTurn, search: Search): void {
  for (const vm of search.asked) {
    if (!search.answered.has(vm)) sendGet(turn, search, vm);
  }
  search.resendAt = turn.now + turn.state.options.resendMilliseconds;
}

function sendGet(turn: RecordTurn, search: Search, to: VmId): void {
  const message = {
    kind: RecordMessageKind.Get,
    sender: turn.state.self.vm,
    request: search.request,
  } as const;
  turn.commands.push({kind: RecordCommandKind.Send, to, message});
}
