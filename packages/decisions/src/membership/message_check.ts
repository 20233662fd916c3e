import type {PeerMessage, PeerUpdate} from './messages.js';
import {
  maxDigestEntries,
  maxGossipItemsPerMessage,
  PeerMessageKind,
} from './messages.js';

/**
 * Describes what is malformed in a decoded message; undefined if it is valid.
 */
export function findFault(message: PeerMessage): string | undefined {
  const kinds: readonly string[] = Object.values(PeerMessageKind);
  if (typeof message !== 'object' || message === null) return 'not an object';
  if (!kinds.includes(message.kind)) {
    return `unknown kind ${JSON.stringify(message.kind)}`;
  }
  const {vm, startedAt} = message.sender ?? {};
  if (typeof vm !== 'string' || !Number.isFinite(startedAt)) {
    return `field "sender" is ${JSON.stringify(message.sender)}`;
  }
  switch (message.kind) {
    case PeerMessageKind.Digest:
      return findLongList([
        ['demands.accounts', message.demands?.accounts],
        ['uses.endpoints', message.uses?.endpoints],
        ['reports.endpoints', message.reports?.endpoints],
        ['leavingEndpoints', message.leavingEndpoints],
        ['failingEndpoints', message.failingEndpoints],
      ]);
    case PeerMessageKind.RegionDigest:
      return findLongList([
        ['digest.entries.vms', message.digest?.entries?.vms],
        ['digest.demands.accounts', message.digest?.demands?.accounts],
        ['digest.uses.endpoints', message.digest?.uses?.endpoints],
      ]);
    case PeerMessageKind.Ack:
    case PeerMessageKind.Gossip:
    case PeerMessageKind.Ping:
    case PeerMessageKind.PingRequest:
    case PeerMessageKind.Sync:
      return (
        findLongList(
          [
            ['updates', message.updates],
            ['notices', message.notices],
          ],
          maxGossipItemsPerMessage + 1,
        ) ?? findBadUpdate([message.sender, ...message.updates])
      );
  }
}

type NamedList = readonly [name: string, list: readonly unknown[] | undefined];

function findLongList(
  lists: readonly NamedList[],
  limit = maxDigestEntries,
): string | undefined {
  for (const [name, list] of lists) {
    if (!Array.isArray(list)) return `field "${name}" is not a list`;
    if (list.length <= limit) continue;
    return `field "${name}" has ${list.length} entries, over ${limit}`;
  }
  return undefined;
}

function findBadUpdate(updates: readonly PeerUpdate[]): string | undefined {
  for (const update of updates) {
    const usable =
      typeof update.vm === 'string' &&
      typeof update.peerAddress === 'string' &&
      Number.isFinite(update.startedAt) &&
      Number.isSafeInteger(update.incarnation);
    if (!usable) return `update ${JSON.stringify(update)} is incomplete`;
  }
  return undefined;
}
