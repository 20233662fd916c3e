import type {AccountId, Deadline, Instant} from '@zinniaspindle/shared';
import type {WorkItem} from './messages.js';

/** A request that waits for capacity. */
export interface QueuedWork {
  readonly work: WorkItem;
  readonly arrivedAt: Instant;
  /** After this instant the request can't be served well any more. */
  readonly latestStartAt: Deadline;
}

/** The waiting requests of one account. */
export interface AccountQueue {
  readonly account: AccountId;
  weight: number;
  /** Virtual time at which the account's next request starts. */
  startTag: number;
  /** Highest priority first, then earliest deadline. */
  readonly entries: QueuedWork[];
  tokens: number;
}

/** Start-time fair queueing over accounts, in tokens over weight. */
export interface FairQueue {
  readonly accounts: Map<AccountId, AccountQueue>;
  virtualTime: number;
  tokens: number;
}

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
  return {accounts: new Map(), virtualTime: 0, tokens: 0};
}

/** Adds a request to its account's queue. */
export function addToQueue(
  queue: FairQueue,
  entry: QueuedWork,
  weight: number,
): void {
  const held = takeAccount(queue, entry.work.account);
  held.weight = weight;
  if (held.entries.length === 0) {
    held.startTag = Math.max(held.startTag, queue.virtualTime);
  }
  let index = held.entries.length;
  while (index > 0 && isBefore(entry, held.entries[index - 1]!)) index -= 1;
  held.entries.splice(index, 0, entry);
  held.tokens += entry.work.query.tokensLeft;
  queue.tokens += entry.work.query.tokensLeft;
}

/** Lists accounts with waiting requests, the next to be served first. */
export function listWaiting(queue: FairQueue): AccountQueue[] {
  const waiting: AccountQueue[] = [];
  for (const held of queue.accounts.values()) {
    if (held.entries.length > 0) waiting.push(held);
  }
  return waiting.sort((a, b) => a.startTag - b.startTag);
}

/** Takes the first request of an account to serve it. */
export function takeFirst(queue: FairQueue, held: AccountQueue): QueuedWork {
  const entry = held.entries[0]!;
  removeEntry(queue, held, entry);
  queue.virtualTime = Math.max(queue.virtualTime, held.startTag);
  held.startTag += entry.work.query.tokensLeft / held.weight;
  return entry;
}

/** Gives an account back the tokens that it did not use. */
export function releaseUnused(
  queue: FairQueue,
  account: AccountId,
  tokens: number,
): void {
  const held = queue.accounts.get(account);
  if (held !== undefined) held.startTag -= tokens / held.weight;
}

/** Removes a request that is not served. */
export function removeEntry(
  queue: FairQueue,
  held: AccountQueue,
  entry: QueuedWork,
): void {
  const index = held.entries.indexOf(entry);
  if (index === -1) return;
  held.entries.splice(index, 1);
  held.tokens -= entry.work.query.tokensLeft;
  queue.tokens -= entry.work.query.tokensLeft;
}

/**
 * Counts the waiting tokens that are served before a waiting request, of the
 * other accounts that may be served at all.
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
  for (const held of queue.accounts.values()) {
    if (held === own || held.entries.length === 0) continue;
    if (!canServe(held.account)) continue;
    const before = Math.max(0, tag - held.startTag) * held.weight;
    ahead += Math.min(held.tokens, before);
  }
  return ahead;
}

function takeAccount(queue: FairQueue, account: AccountId): AccountQueue {
  const known = queue.accounts.get(account);
  if (known !== undefined) return known;
  const startTag = queue.virtualTime;
  const held = {account, weight: 1, startTag, entries: [], tokens: 0};
  queue.accounts.set(account, held);
  return held;
}

function isBefore(a: QueuedWork, b: QueuedWork): boolean {
  if (a.work.priority !== b.work.priority) {
    return a.work.priority > b.work.priority;
  }
  return a.work.query.deadline < b.work.query.deadline;
}
