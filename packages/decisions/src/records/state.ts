import type {Deadline, Instant, RequestId, VmId} from '@zinniaspindle/shared';
import type {Turn} from '../turn.js';
import type {RecordMessage} from './messages.js';
import type {HolderPeer, Ownership, RequestRecord} from './record.js';

/** Safety checks of request records; only tests switch them off. */
export interface RecordGuards {
  /** Of two owners, the one with the higher attempt, then VM id, wins. */
  readonly ownership: boolean;
  /** Holders in other data centres than the owner's are preferred. */
  readonly dataCentres: boolean;
  /** Memory for held records is limited. */
  readonly memory: boolean;
}

/** Options of request records. */
export interface RecordOptions {
  /** Number of peers that hold each record. */
  readonly holdersPerRecord: number;
  /** Memory limit for held records. */
  readonly maxHeldBytes: number;
  /** Interval after which an unanswered message is resent. */
  readonly resendMilliseconds: number;
  /** Number of unanswered sends after which another holder is chosen. */
  readonly maxSends: number;
  /** Number of peers asked for a record at a time. */
  readonly searchFanout: number;
  /** Number of peers asked before a record counts as not found. */
  readonly maxSearchPeers: number;
  /** Wait for further answers after the first record was found. */
  readonly answerWaitMilliseconds: number;
  /**
   * Interval at which a VM that resumed a request puts its record at all
   * searched peers again, so that two VMs that resumed it concurrently learn of
   * each other.
   */
  readonly reassertMilliseconds: number;
  readonly guards: RecordGuards;
}

/** Options for an entry VM with 256 MB of memory for the control plane. */
export const defaultRecordOptions: RecordOptions = {
  holdersPerRecord: 2,
  maxHeldBytes: 64 * 1024 * 1024,
  resendMilliseconds: 200,
  maxSends: 3,
  searchFanout: 4,
  maxSearchPeers: 12,
  answerWaitMilliseconds: 100,
  reassertMilliseconds: 2000,
  guards: {ownership: true, dataCentres: true, memory: true},
};

/** A record held for another VM. */
export interface HeldRecord {
  readonly record: RequestRecord;
  readonly bytes: number;
}

/** A put that was not acknowledged yet. */
export interface PendingPut {
  sends: number;
  resendAt: Instant;
}

/** A record that this VM owns. */
export interface OwnedRecord {
  record: RequestRecord;
  readonly pending: Map<VmId, PendingPut>;
  readonly holders: Set<VmId>;
  /** Peers that refused the record or did not answer. */
  readonly refused: Set<VmId>;
  /** Whether the Stored command was issued. */
  storedReported: boolean;
  /** For a pending resume: when it starts even without a holder. */
  resumeDeadline: Deadline | undefined;
  /** Peers that the resume search asked; a concurrent one asks them too. */
  readonly searchedPeers: readonly VmId[];
  /** When the record is put at the searched peers again. */
  reassertAt: Instant;
}

/** A superseded owner that has not acknowledged the winner yet. */
export interface StaleOwner {
  readonly vm: VmId;
  readonly request: RequestId;
  readonly winner: Ownership;
  /** When resending the notification stops. */
  readonly expiresAt: Deadline;
  resendAt: Instant;
  sends: number;
}

/** A search for a record at peers. */
export interface Search {
  readonly request: RequestId;
  readonly deadline: Deadline;
  readonly asked: Set<VmId>;
  readonly answered: Set<VmId>;
  readonly found: Set<VmId>;
  best: RequestRecord | undefined;
  /** When the wait for further answers ends. */
  waitUntil: Deadline;
  resendAt: Instant;
}

/** The state of request records at one VM. */
export interface RecordState {
  readonly options: RecordOptions;
  readonly self: HolderPeer;
  /** Peers that can hold records. */
  peers: readonly HolderPeer[];
  readonly held: Map<RequestId, HeldRecord>;
  heldBytes: number;
  readonly owned: Map<RequestId, OwnedRecord>;
  readonly searches: Map<RequestId, Search>;
  /** Superseded owners to notify, keyed by VM and request. */
  readonly staleOwners: Map<string, StaleOwner>;
}

/** Kinds of event of request records. */
export enum RecordEventKind {
  MessageReceived = 'messageReceived',
  PeersChanged = 'peersChanged',
  ReleaseRequested = 'releaseRequested',
  ResumeRequested = 'resumeRequested',
  StoreRequested = 'storeRequested',
  Tick = 'tick',
}

/** Any event of request records. */
export type RecordInput =
  | {
      readonly kind: RecordEventKind.MessageReceived;
      readonly message: RecordMessage;
    }
  /** The set of alive peers changed; leaving peers are not included. */
  | {
      readonly kind: RecordEventKind.PeersChanged;
      readonly peers: readonly HolderPeer[];
    }
  /** The request has ended. */
  | {
      readonly kind: RecordEventKind.ReleaseRequested;
      readonly request: RequestId;
    }
  /** A caller reconnected here with a request that this VM does not run. */
  | {
      readonly kind: RecordEventKind.ResumeRequested;
      readonly request: RequestId;
      readonly deadline: Deadline;
    }
  /** Sent at the start, at each attempt, and when a stopping VM hands over. */
  | {
      readonly kind: RecordEventKind.StoreRequested;
      readonly record: RequestRecord;
    }
  | {readonly kind: RecordEventKind.Tick};

/** Kinds of command of request records. */
export enum RecordCommandKind {
  /** Another VM owns the request: ends its stream here without an answer. */
  EndStream = 'endStream',
  /** No asked peer has the record. */
  NotFound = 'notFound',
  /** This VM owns the request now and must resume it. */
  Resume = 'resume',
  Send = 'send',
  /** At least one peer holds the latest record. */
  Stored = 'stored',
}

/** Any command of request records. */
export type RecordCommand =
  | {
      readonly kind: RecordCommandKind.EndStream;
      readonly request: RequestId;
      readonly winner: Ownership;
    }
  | {
      readonly kind: RecordCommandKind.NotFound;
      readonly request: RequestId;
      /** Number of peers asked, and of those that answered. */
      readonly asked: number;
      readonly answered: number;
    }
  | {
      readonly kind: RecordCommandKind.Resume;
      /** Its attempt number is the one to run under. */
      readonly record: RequestRecord;
    }
  | {
      readonly kind: RecordCommandKind.Send;
      readonly to: VmId;
      readonly message: RecordMessage;
    }
  | {
      readonly kind: RecordCommandKind.Stored;
      readonly request: RequestId;
      readonly attempt: number;
    };

/**
 * Context of one decision, with the commands and log events it collects.
 * @internal
 */
export type RecordTurn = Turn<RecordState, RecordCommand>;

/** Creates the state of a VM without records. */
export function createRecordState(
  self: HolderPeer,
  options: RecordOptions,
): RecordState {
  return {
    options,
    self,
    peers: [],
    held: new Map(),
    heldBytes: 0,
    owned: new Map(),
    searches: new Map(),
    staleOwners: new Map(),
  };
}
