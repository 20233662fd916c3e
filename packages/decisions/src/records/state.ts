import type {Deadline, Instant, RequestId, VmId} from '@zinniaspindle/shared';
import type {Turn} from '../turn.js';
import type {RecordMessage} from './messages.js';
import type {HolderPeer, Ownership, RequestRecord} from './record.js';

/** Safety guards of request records; switched off only by tests. */
export interface RecordGuards {
  /** Of two owners, the one with the higher attempt and VM id wins. */
  readonly ownership: boolean;
  /** Records are held in other data centres than the owner's. */
  readonly dataCentres: boolean;
  /** Memory for held records is bounded. */
  readonly memory: boolean;
}

/** How request records are set up. */
export interface RecordOptions {
  /** Peers that hold each record. */
  readonly holdersPerRecord: number;
  /** Memory for held records, in bytes. */
  readonly maxHeldBytes: number;
  /** Time after which an unanswered message is sent again. */
  readonly resendMilliseconds: number;
  /** Unanswered sends after which another holder is chosen. */
  readonly maxSends: number;
  /** Peers asked at once for a record. */
  readonly askedAtOnce: number;
  /** Peers asked for a record before it counts as not found. */
  readonly maxAsked: number;
  /** Wait for further answers once a record was found. */
  readonly furtherAnswersMilliseconds: number;
  /**
   * Time after which a VM that resumed a request puts its record again at all
   * peers asked, so that two that did so at once learn of each other.
   */
  readonly assertMilliseconds: number;
  readonly guards: RecordGuards;
}

/** The options of an entry VM with 256 MB for all control. */
export const defaultRecordOptions: RecordOptions = {
  holdersPerRecord: 2,
  maxHeldBytes: 64 * 1024 * 1024,
  resendMilliseconds: 200,
  maxSends: 3,
  askedAtOnce: 4,
  maxAsked: 12,
  furtherAnswersMilliseconds: 100,
  assertMilliseconds: 2000,
  guards: {ownership: true, dataCentres: true, memory: true},
};

/** A record held for another VM. */
export interface HeldRecord {
  readonly record: RequestRecord;
  readonly bytes: number;
}

/** A Put that waits for its PutAck. */
export interface PendingPut {
  sends: number;
  resendAt: Instant;
}

/** A record that this VM owns. */
export interface OwnedRecord {
  record: RequestRecord;
  readonly pending: Map<VmId, PendingPut>;
  readonly holders: Set<VmId>;
  /** Peers that refused it or did not answer. */
  readonly refused: Set<VmId>;
  /** Whether a holder was reported to the host. */
  reported: boolean;
  /** For a resume not begun yet: begins without a holder from here on. */
  beginAt: Deadline | undefined;
  /** Peers that another VM which resumes the request asks too. */
  readonly common: readonly VmId[];
  /** When the record is put at the common peers again. */
  assertAt: Instant;
}

/** An owner that must learn that another one has won. */
export interface Loser {
  readonly vm: VmId;
  readonly request: RequestId;
  readonly winner: Ownership;
  /** It is not told any more from here on. */
  readonly expiresAt: Deadline;
  resendAt: Instant;
  sends: number;
}

/** A search for a record. */
export interface Search {
  readonly request: RequestId;
  readonly deadline: Deadline;
  readonly asked: Set<VmId>;
  readonly answered: Set<VmId>;
  readonly found: Set<VmId>;
  best: RequestRecord | undefined;
  /** Ends the wait for further answers. */
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
  /** Owners to be told of a winner, by request and VM. */
  readonly losers: Map<string, Loser>;
}

/** The events that request records take. */
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
  /** Which peers are alive; a leaving one is not among them. */
  | {
      readonly kind: RecordEventKind.PeersChanged;
      readonly peers: readonly HolderPeer[];
    }
  /** The request is over. */
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
  /** At the start, at each attempt, and when a stopping VM hands over. */
  | {
      readonly kind: RecordEventKind.StoreRequested;
      readonly record: RequestRecord;
    }
  | {readonly kind: RecordEventKind.Tick};

/** The commands that request records give. */
export enum RecordCommandKind {
  /** Another VM owns the request: ends its stream here, silently. */
  EndStream = 'endStream',
  /** No peer has the record. */
  NotFound = 'notFound',
  /** This VM owns the request now and is to go on with it. */
  Resume = 'resume',
  Send = 'send',
  /** A peer holds the latest record. */
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
      /** Peers asked, and how many of them answered. */
      readonly asked: number;
      readonly answered: number;
    }
  | {
      readonly kind: RecordCommandKind.Resume;
      /** Its attempt is the one to run under. */
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
 * One decision in the making.
 * @internal
 */
export type RecordTurn = Turn<RecordState, RecordCommand>;

/** Makes the state of a VM that holds nothing. */
export function makeRecordState(
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
    losers: new Map(),
  };
}
