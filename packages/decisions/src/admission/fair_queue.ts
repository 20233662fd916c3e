import type {AccountId, Deadline, Instant} from '@zinniaspindle/shared';
import type {WorkItem} from './messages.js';

/** A request that waits for capacity. */
export interface QueuedWork {
  readonly work: WorkItem;
  readonly arrivedAt: Instant;
  /** Latest start that still meets the deadline and the queue's time limit. */
  readonly latestStartAt: Deadline;
}

/** The flow of one account: its waiting requests and its start tag. */
export interface AccountQueue {
  readonly account: AccountId;
  weight: number;
  /** Virtual time at which the account's next request starts. */
  startTag: number;
  /** Waiting requests: highest priority first, then earliest deadline. */
  readonly entries: QueuedWork[];
  /** Tokens of all entries. */
  tokens: number;
}

/**
 * Start-time fair queueing with one flow per account; virtual time is in
 * tokens divided by weight.
 */
export interface FairQueue {
  readonly accounts: Map<AccountId, AccountQueue>;
  virtualTime: number;
  /** Tokens of all waiting requests. */
  tokens: number;
}

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
  return {accounts: new Map(), virtualTime: 0, tokens: 0};
}

/** Adds a request to its account's flow. */
export function addToQueue(
  queue: FairQueue,
  entry: QueuedWork,
  weight: number,
): void {
  const flow = takeAccountQueue(queue, entry.work.account);
  flow.weight = weight;
  if (flow.entries.length === 0) {
    flow.startTag = Math.max(flow.startTag, queue.virtualTime);
  }
  let index = flow.entries.length;
  while (index > 0 && isBefore(entry, flow.entries[index - 1]!)) index -= 1;
  flow.entries.splice(index, 0, entry);
  flow.tokens += entry.work.query.tokensLeft;
  queue.tokens += entry.work.query.tokensLeft;
}

/** Lists the flows with waiting requests in ascending order of start tags. */
export function listWaiting(queue: FairQueue): AccountQueue[] {
  const waiting: AccountQueue[] = [];
  for (const flow of queue.accounts.values()) {
    if (flow.entries.length > 0) waiting.push(flow);
  }
  return waiting.sort((a, b) => a.startTag - b.startTag);
}

/** Takes the first request of a flow and advances the virtual time. */
export function takeFirst(queue: FairQueue, flow: AccountQueue): QueuedWork {
  const entry = flow.entries[0]!;
  removeEntry(queue, flow, entry);
  queue.virtualTime = Math.max(queue.virtualTime, flow.startTag);
  flow.startTag += entry.work.query.tokensLeft / flow.weight;
  return entry;
}

/** Credits an account with tokens that were reserved but not used. */
export function releaseUnused(
  queue: FairQueue,
  account: AccountId,
  tokens: number,
): void {
  const flow = queue.accounts.get(account);
  if (flow !== undefined) flow.startTag -= tokens / flow.weight;
}

/** Removes a waiting request without advancing the virtual time. */
export function removeEntry(
  queue: FairQueue,
  flow: AccountQueue,
  entry: QueuedWork,
): void {
  const index = flow.entries.indexOf(entry);
  if (index === -1) return;
  flow.entries.splice(index, 1);
  flow.tokens -= entry.work.query.tokensLeft;
  queue.tokens -= entry.work.query.tokensLeft;
}

/**
 * Counts the waiting tokens that are served before a waiting request: those of
 * its own account, and of the other accounts for which canServe returns true.
 */
export function countTokensAhead(
  queue: FairQueue,
  entry: QueuedWork,
  canServe: (account: AccountId) => boolean,
): number {
  const own = queue.accounts.get(entry.work.account);
  if (own === undefined) return queue.tokens;
  let ownAhead = 0;
  for (const other of own.entries) {
    if (other === entry) break;
    ownAhead += other.work.query.tokensLeft;
  }
  const tag = own.startTag + ownAhead / own.weight;
  let ahead = ownAhead;
  for (const flow of queue.accounts.values()) {
    if (flow === own || flow.entries.length === 0) continue;
    if (!canServe(flow.account)) continue;
    const before = Math.max(0, tag - flow.startTag) * flow.weight;
    ahead += Math.min(flow.tokens, before);
  }
  return ahead;
}

function takeAccountQueue(queue: FairQueue, account: AccountId): AccountQueue {
  const known = queue.accounts.get(account);
  if (known !== undefined) return known;
  const startTag = queue.virtualTime;
  const flow = {account, weight: 1, startTag, entries: [], tokens: 0};
  queue.accounts.set(account, flow);
  return flow;
}

function isBefore(a: QueuedWork, b: QueuedWork): boolean {
  if (a.work.priority !== b.work.priority) {
    return a.work.priority > b.work.priority;
  }
  return a.work.query.deadline < b.work.query.deadline;
}
