import type {
  AccountId,
  Deadline,
  EndpointId,
  Instant,
  LoadReport,
  VmId,
} from '@zinniaspindle/shared';
import type {VmDigest} from './digest.js';
import type {SentEntries} from './digest_entries.js';
import type {DigestMessage, RegionDigest} from './messages.js';

/** Work that one VM has in progress at an endpoint. */
export interface UseValue {
  readonly running: number;
  readonly prefillTokens: number;
}

/** A value that is valid until an instant. */
export interface ExpiringValue<Value> {
  readonly value: Value;
  readonly expiresAt: Deadline;
}

/** The digest of one run of a peer, merged from its messages so far. */
export interface ReceivedDigest {
  readonly startedAt: Instant;
  sequence: number;
  /** When the run's last digest message arrived, by this VM's clock. */
  receivedAt: Instant;
  latest: DigestMessage;
  readonly demands: Map<AccountId, ExpiringValue<number>>;
  readonly uses: Map<EndpointId, ExpiringValue<UseValue>>;
  readonly reports: Map<EndpointId, ExpiringValue<LoadReport>>;
}

/** The digests that this VM sent and received. */
export interface DigestState {
  /** This VM's own digest. */
  own: VmDigest | undefined;
  nextSequence: number;
  nextSendAt: Instant;
  nextRegionSendAt: Instant;
  readonly sentDemands: SentEntries<AccountId, number>;
  readonly sentUses: SentEntries<EndpointId, UseValue>;
  readonly sentReports: SentEntries<EndpointId, LoadReport>;
  readonly sentRegionDemands: SentEntries<AccountId, number>;
  readonly sentRegionUses: SentEntries<EndpointId, UseValue>;
  readonly received: Map<VmId, ReceivedDigest>;
  readonly regions: Map<string, RegionDigest>;
}

/** Makes the state before any digest was sent or received. */
export function makeDigestState(): DigestState {
  return {
    own: undefined,
    nextSequence: 1,
    nextSendAt: 0,
    nextRegionSendAt: 0,
    sentDemands: new Map(),
    sentUses: new Map(),
    sentReports: new Map(),
    sentRegionDemands: new Map(),
    sentRegionUses: new Map(),
    received: new Map(),
    regions: new Map(),
  };
}

/**
 * Merges a message into the digest of its sender. Returns undefined for a
 * message that is older than one already merged.
 */
export function mergeDigest(
  digests: DigestState,
  message: DigestMessage,
  now: Instant,
  entryTtlMilliseconds: number,
): ReceivedDigest | undefined {
  const {vm, startedAt} = message.sender;
  let received = digests.received.get(vm);
  if (received === undefined || received.startedAt !== startedAt) {
    received = makeReceivedDigest(message, now);
    digests.received.set(vm, received);
  } else if (message.sequence <= received.sequence) {
    return undefined;
  }
  received.sequence = message.sequence;
  received.receivedAt = now;
  received.latest = message;
  mergeEntries(received, message, now + entryTtlMilliseconds);
  return received;
}

/** Builds a VM's digest from its merged messages, without expired entries. */
export function buildDigest(received: ReceivedDigest, now: Instant): VmDigest {
  const {latest} = received;
  const digest: VmDigest = {
    vm: latest.sender.vm,
    time: latest.time,
    ready: latest.ready,
    leaving: latest.leaving,
    load: latest.load,
    nextOffset: latest.nextOffset,
    demands: listUnexpired(
      received.demands,
      now,
      (account, tokensPerSecond) => ({
        account,
        tokensPerSecond,
      }),
    ),
    uses: listUnexpired(received.uses, now, (endpoint, use) => ({
      endpoint,
      ...use,
    })),
    leavingEndpoints: latest.leavingEndpoints,
    failingEndpoints: latest.failingEndpoints,
  };
  if (received.reports.size === 0) return digest;
  const reports = listUnexpired(received.reports, now, (_, report) => report);
  return {...digest, reports};
}

function makeReceivedDigest(
  message: DigestMessage,
  now: Instant,
): ReceivedDigest {
  return {
    startedAt: message.sender.startedAt,
    sequence: message.sequence,
    receivedAt: now,
    latest: message,
    demands: new Map(),
    uses: new Map(),
    reports: new Map(),
  };
}

function mergeEntries(
  received: ReceivedDigest,
  message: DigestMessage,
  expiresAt: Deadline,
): void {
  const {demands, uses, reports} = message;
  for (const [i, account] of demands.accounts.entries()) {
    const value = demands.tokensPerSecond[i] ?? 0;
    if (value === 0) received.demands.delete(account);
    else received.demands.set(account, {value, expiresAt});
  }
  for (const [i, endpoint] of uses.endpoints.entries()) {
    const running = uses.running[i] ?? 0;
    const prefillTokens = uses.prefillTokens[i] ?? 0;
    const value = {running, prefillTokens};
    if (running === 0 && prefillTokens === 0) received.uses.delete(endpoint);
    else received.uses.set(endpoint, {value, expiresAt});
  }
  for (const [i, endpoint] of reports.endpoints.entries()) {
    const value: LoadReport = {
      endpoint,
      time: reports.times[i] ?? 0,
      running: reports.running[i] ?? 0,
      queued: reports.queued[i] ?? 0,
      queuedPrefillTokens: reports.queuedPrefillTokens[i] ?? 0,
      leaving: reports.leaving[i] ?? false,
    };
    if (value.time === 0) received.reports.delete(endpoint);
    else received.reports.set(endpoint, {value, expiresAt});
  }
}

function listUnexpired<Key, Value, Item>(
  entries: Map<Key, ExpiringValue<Value>>,
  now: Instant,
  make: (key: Key, value: Value) => Item,
): Item[] {
  const items: Item[] = [];
  for (const [key, {value, expiresAt}] of entries) {
    if (now >= expiresAt) entries.delete(key);
    else items.push(make(key, value));
  }
  return items;
}
