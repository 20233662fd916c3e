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
import {sortByLoad} from './ranking.js';

/** One address that a caller may use. */
export interface DirectoryEntry {
  readonly vm: VmId;
  /** host:port for callers. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
}

/** Answer to GET /v1/entries; the best entry comes first. */
export interface EntriesResponse {
  readonly entries: readonly DirectoryEntry[];
  /** No entry may be used after this instant without asking again. */
  readonly useUntil: Deadline;
}

/** Safety guards of the directory; switched off only by tests. */
export interface DirectoryGuards {
  /** VMs that were not heard lately are not listed. */
  readonly freshness: boolean;
  /** VMs that are not alive are not listed. */
  readonly states: boolean;
}

/** How the directory is set up. */
export interface DirectoryOptions {
  /** How long an answer may be used. */
  readonly answerTtlMilliseconds: number;
  /** A VM whose digest is older is not listed. */
  readonly staleMilliseconds: number;
  /** The same, for VMs that only a region's digest names. */
  readonly regionStaleMilliseconds: number;
  /** Most that two VMs' clocks differ. */
  readonly clockSkewMilliseconds: number;
  readonly maxEntries: number;
  /** Entries kept for other data centres than the asker's. */
  readonly reservedRemoteEntries: number;
  readonly guards: DirectoryGuards;
}

/** The options for a fleet of one region at today's size. */
export const defaultDirectoryOptions: DirectoryOptions = {
  answerTtlMilliseconds: 10_000,
  staleMilliseconds: 3000,
  regionStaleMilliseconds: 10_000,
  clockSkewMilliseconds: 500,
  maxEntries: 8,
  reservedRemoteEntries: 3,
  guards: {freshness: true, states: true},
};

/** The options for regions that use the large digest period. */
export const largeDirectoryOptions: DirectoryOptions = {
  ...defaultDirectoryOptions,
  staleMilliseconds: 6000,
};

/** What the directory knows of one VM. */
export interface KnownVm {
  readonly entry: DirectoryEntry;
  state: PeerState;
  ready: boolean;
  leaving: boolean;
  /** Share of its capacity in use, 0 to 1. */
  load: number;
  /** Not listed from here on, unless heard again. */
  staleAt: Deadline;
}

/** The state of the directory. */
export interface DirectoryState {
  readonly options: DirectoryOptions;
  readonly self: KnownVm;
  readonly peers: Map<VmId, KnownVm>;
}

/** The events that the directory takes. */
export enum DirectoryEventKind {
  DigestReceived = 'digestReceived',
  EntriesRequested = 'entriesRequested',
  OwnDigest = 'ownDigest',
  PeerChanged = 'peerChanged',
  PeerForgotten = 'peerForgotten',
  RegionDigestReceived = 'regionDigestReceived',
}

/** Any event of the directory. */
export type DirectoryInput =
  | {
      readonly kind:
        DirectoryEventKind.DigestReceived | DirectoryEventKind.OwnDigest;
      readonly digest: VmDigest;
    }
  | {
      readonly kind: DirectoryEventKind.EntriesRequested;
      /** Names the question, for its answer. */
      readonly requestId: string;
      /** Where the asker is, when known. */
      readonly dataCentre?: DataCentreId;
    }
  | {
      readonly kind: DirectoryEventKind.PeerChanged;
      readonly peer: PeerUpdate;
      readonly state: PeerState;
    }
  | {readonly kind: DirectoryEventKind.PeerForgotten; readonly vm: VmId}
  | {
      readonly kind: DirectoryEventKind.RegionDigestReceived;
      readonly digest: RegionDigest;
    };

/** The commands that the directory gives. */
export enum DirectoryCommandKind {
  AnswerEntries = 'answerEntries',
}

/** Answers a question for entries. */
export interface DirectoryCommand {
  readonly kind: DirectoryCommandKind.AnswerEntries;
  readonly requestId: string;
  readonly response: EntriesResponse;
}

/** Makes the directory of a VM that is not ready and knows nobody yet. */
export function makeDirectoryState(
  own: DirectoryEntry,
  options: DirectoryOptions,
): DirectoryState {
  const self = makeKnownVm(own, PeerState.Alive);
  return {options, self, peers: new Map()};
}

/** Decides which VMs a caller may use. */
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
    case DirectoryEventKind.PeerForgotten:
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
  // The sender's own time counts too: a digest may have been long on its way.
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
  const own: KnownVm[] = [];
  const others: KnownVm[] = [];
  for (const known of [self, ...peers.values()]) {
    if (!isListed(known, now, options.guards)) continue;
    const near = known.entry.dataCentre === dataCentre;
    (near ? own : others).push(known);
  }
  const kept = Math.min(others.length, options.reservedRemoteEntries);
  const chosen = sortByLoad(own, random).slice(0, options.maxEntries - kept);
  const left = options.maxEntries - chosen.length;
  chosen.push(...sortByLoad(others, random).slice(0, left));
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
