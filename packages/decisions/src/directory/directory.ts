import type {
  DataCentreId,
  Deadline,
  Instant,
  CodedError,
  LogEvent,
  Random,
  VmId,
} from '@zinniaspindle/shared';
import {MembershipEvent} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {VmDigest} from '../membership/digest.js';
import type {PeerUpdate, RegionDigest} from '../membership/messages.js';
import {PeerState} from '../membership/messages.js';
import type {Step} from '../step.js';
import {sortRandomlyByLoad} from './ranking.js';

/** An entry VM with its address for callers. */
export interface DirectoryEntry {
  readonly vm: VmId;
  /** host:port for callers. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
}

/** Answer to GET /v1/entries, in the order in which to try the entries. */
export interface EntriesResponse {
  readonly entries: readonly DirectoryEntry[];
  /** After this instant, the caller must request the entries again. */
  readonly useUntil: Deadline;
}

/** Safeguards of the directory; only tests switch them off. */
export interface DirectoryGuards {
  /** VMs whose digest is stale are not listed. */
  readonly freshness: boolean;
  /** VMs that are not alive are not listed. */
  readonly states: boolean;
}

/** Options of the directory. */
export interface DirectoryOptions {
  /** How long an answer is valid. */
  readonly answerTtlMilliseconds: number;
  /** A VM whose digest is older is not listed. */
  readonly staleMilliseconds: number;
  /** The same, for VMs known only from a region's digest. */
  readonly regionStaleMilliseconds: number;
  /** Maximum difference between the clocks of two VMs. */
  readonly clockSkewMilliseconds: number;
  readonly maxEntries: number;
  /** Entries reserved for data centres other than the caller's. */
  readonly reservedRemoteEntries: number;
  readonly guards: DirectoryGuards;
}

/** Options for a fleet of one region that uses the regular digest period. */
export const defaultDirectoryOptions: DirectoryOptions = {
  answerTtlMilliseconds: 10_000,
  staleMilliseconds: 3000,
  regionStaleMilliseconds: 10_000,
  clockSkewMilliseconds: 500,
  maxEntries: 8,
  reservedRemoteEntries: 3,
  guards: {freshness: true, states: true},
};

/** Options for regions that use the digest period of large regions. */
export const largeDirectoryOptions: DirectoryOptions = {
  ...defaultDirectoryOptions,
  staleMilliseconds: 6000,
};

/** What the directory knows about one VM. */
export interface KnownVm {
  readonly entry: DirectoryEntry;
  state: PeerState;
  ready: boolean;
  leaving: boolean;
  /** Share of its capacity in use, 0 to 1. */
  load: number;
  /** When the VM is no longer listed unless a newer digest arrives. */
  staleAt: Deadline;
}

/** State of the directory. */
export interface DirectoryState {
  readonly options: DirectoryOptions;
  readonly self: KnownVm;
  readonly peers: Map<VmId, KnownVm>;
}

/** Kinds of input events of the directory. */
export enum DirectoryEventKind {
  DigestReceived = 'digestReceived',
  EntriesRequested = 'entriesRequested',
  OwnDigest = 'ownDigest',
  PeerChanged = 'peerChanged',
  PeerRemoved = 'peerRemoved',
  RegionDigestReceived = 'regionDigestReceived',
}

/** Any input event of the directory. */
export type DirectoryInput =
  | {
      readonly kind:
        DirectoryEventKind.DigestReceived | DirectoryEventKind.OwnDigest;
      readonly digest: VmDigest;
    }
  | {
      readonly kind: DirectoryEventKind.EntriesRequested;
      /** Identifies the request, for its answer. */
      readonly requestId: string;
      /** Data centre of the caller, if known. */
      readonly dataCentre?: DataCentreId;
    }
  | {
      readonly kind: DirectoryEventKind.PeerChanged;
      readonly peer: PeerUpdate;
      readonly state: PeerState;
    }
  | {readonly kind: DirectoryEventKind.PeerRemoved; readonly vm: VmId}
  | {
      readonly kind: DirectoryEventKind.RegionDigestReceived;
      readonly digest: RegionDigest;
    };

/** Kinds of commands that the directory issues. */
export enum DirectoryCommandKind {
  AnswerEntries = 'answerEntries',
}

/** Answers a request for entries. */
export interface DirectoryCommand {
  readonly kind: DirectoryCommandKind.AnswerEntries;
  readonly requestId: string;
  readonly response: EntriesResponse;
}

/**
 * Makes the directory of a VM that is not ready and does not know any peer yet.
 */
export function makeDirectoryState(
  own: DirectoryEntry,
  options: DirectoryOptions,
): DirectoryState {
  const self = makeKnownVm(own, PeerState.Alive);
  return {options, self, peers: new Map()};
}

/** Runs one step of the directory, which lists the VMs that callers may use. */
export function decideDirectory(
  state: DirectoryState,
  event: DirectoryInput,
  now: Instant,
  random: Random,
): Result<Step<DirectoryState, DirectoryCommand>, CodedError> {
  const logEvents: LogEvent[] = [];
  const commands: DirectoryCommand[] = [];
  switch (event.kind) {
    case DirectoryEventKind.DigestReceived:
      applyDigest(state, state.peers.get(event.digest.vm), event.digest, now);
      break;
    case DirectoryEventKind.OwnDigest:
      applyDigest(state, state.self, event.digest, now);
      break;
    case DirectoryEventKind.PeerChanged:
      applyPeer(state, event.peer, event.state);
      break;
    case DirectoryEventKind.PeerRemoved:
      state.peers.delete(event.vm);
      break;
    case DirectoryEventKind.RegionDigestReceived:
      applyRegionDigest(state, event.digest, now);
      break;
    case DirectoryEventKind.EntriesRequested: {
      const {requestId, dataCentre} = event;
      const response = listEntries(state, dataCentre, now, random);
      const kind = DirectoryCommandKind.AnswerEntries;
      commands.push({kind, requestId, response});
      logEvents.push(describeAnswer(state, response, dataCentre));
    }
  }
  return Result.ok({state, commands, logEvents});
}

function applyPeer(
  state: DirectoryState,
  peer: PeerUpdate,
  peerState: PeerState,
): void {
  const {vm, address, dataCentre} = peer;
  const known = state.peers.get(vm);
  const moved = known?.entry.address !== address;
  if (known !== undefined && !moved) {
    known.state = peerState;
    return;
  }
  state.peers.set(vm, makeKnownVm({vm, address, dataCentre}, peerState));
}

function makeKnownVm(entry: DirectoryEntry, state: PeerState): KnownVm {
  return {entry, state, ready: false, leaving: false, load: 0, staleAt: 0};
}

function applyDigest(
  state: DirectoryState,
  known: KnownVm | undefined,
  digest: VmDigest,
  now: Instant,
): void {
  if (known === undefined) return;
  const {staleMilliseconds, clockSkewMilliseconds} = state.options;
  known.ready = digest.ready;
  known.leaving = digest.leaving;
  known.load = digest.load;
  // Bounded by the time at the sender, since the digest may have been delayed.
  known.staleAt =
    staleMilliseconds + Math.min(now, digest.time + clockSkewMilliseconds);
}

function applyRegionDigest(
  state: DirectoryState,
  digest: RegionDigest,
  now: Instant,
): void {
  const {regionStaleMilliseconds, clockSkewMilliseconds} = state.options;
  const staleAt =
    regionStaleMilliseconds +
    Math.min(now, digest.time + clockSkewMilliseconds);
  for (const [i, vm] of digest.entries.vms.entries()) {
    const known = state.peers.get(vm);
    if (known === undefined) continue;
    known.ready = true;
    known.leaving = false;
    known.load = digest.entries.loads[i] ?? 0;
    known.staleAt = staleAt;
  }
}

function listEntries(
  state: DirectoryState,
  dataCentre: DataCentreId | undefined,
  now: Instant,
  random: Random,
): EntriesResponse {
  const {options, self, peers} = state;
  const nearby: KnownVm[] = [];
  const remote: KnownVm[] = [];
  for (const known of [self, ...peers.values()]) {
    if (!isListed(known, now, options.guards)) continue;
    const isNear = known.entry.dataCentre === dataCentre;
    (isNear ? nearby : remote).push(known);
  }
  const reservedCount = Math.min(remote.length, options.reservedRemoteEntries);
  const chosen = sortRandomlyByLoad(nearby, random).slice(
    0,
    options.maxEntries - reservedCount,
  );
  const remaining = options.maxEntries - chosen.length;
  chosen.push(...sortRandomlyByLoad(remote, random).slice(0, remaining));
  const entries = chosen.map(known => known.entry);
  return {entries, useUntil: now + options.answerTtlMilliseconds};
}

function isListed(
  known: KnownVm,
  now: Instant,
  guards: DirectoryGuards,
): boolean {
  if (guards.freshness && now >= known.staleAt) return false;
  if (!known.ready) return false;
  if (!guards.states) return true;
  return known.state === PeerState.Alive && !known.leaving;
}

function describeAnswer(
  state: DirectoryState,
  response: EntriesResponse,
  dataCentre: DataCentreId | undefined,
): LogEvent {
  const fields = {
    count: response.entries.length,
    known: state.peers.size + 1,
    dataCentre: dataCentre ?? 'unknown',
    useUntil: response.useUntil,
  };
  return {event: MembershipEvent.EntriesListed, fields};
}
