import type {
  DataCentreId,
  Deadline,
  Id,
  ReadResponse,
  StoredRecord,
  VmId,
} from '@zinniaspindle/shared';
import type {Offset, CommittedRecord, RecordBody, WriterId} from './records.js';

/** Identifies a submitted record to the module that submitted it. */
export type SubmitToken = Id<'submit'>;

/** The outcome of a submitted record. */
export enum SubmitOutcome {
  /** Not sent to the log, and never will be. */
  NeverSent = 'neverSent',
  /** Read back from the log at an offset. */
  Committed = 'placed',
  /**
   * Sent to the log, but a later record of this writer was folded first: no VM
   * will ever fold it.
   */
  Superseded = 'superseded',
  /** Sent to the log and not read back. Another outcome may follow. */
  Unknown = 'unknown',
}

/** Why an append failed. */
export enum AppendFailure {
  /** Certainly not executed. */
  NotAppended = 'notPlaced',
  /** Certainly not executed: over the log's append rate. */
  RateLimited = 'rateLimited',
  /** May have been executed. */
  Unknown = 'unknown',
}

/** Highest delivered sequence of a writer, and the log time of that record. */
export interface WriterPosition {
  readonly writer: WriterId;
  readonly sequence: number;
  readonly time: number;
}

/** New records and the state of the log, sent from one VM to peers. */
export interface LogRelay {
  /** Contiguous records in offset order; may be empty. */
  readonly records: readonly StoredRecord[];
  /** Lowest offset that the log keeps, as far as the sender knows. */
  readonly oldest: Offset;
  /** The log's end offset (exclusive), as far as the sender knows. */
  readonly next: Offset;
  /** Lowest offset that the sender itself can relay. */
  readonly kept: Offset;
  /**
   * How long ago `next` was read from the log; an age, because the clocks of
   * VMs differ.
   */
  readonly ageMilliseconds: number;
}

/** A live entry VM. */
export interface LogPeer {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
}

/** Kinds of event that `decideJournal` accepts. */
export enum JournalEventKind {
  Advance = 'advance',
  AppendAnswered = 'appendAnswered',
  AppendFailed = 'appendFailed',
  PeerAsked = 'peerAsked',
  PeersChanged = 'peersChanged',
  ReadAnswered = 'readAnswered',
  ReadFailed = 'readFailed',
  Relayed = 'relayed',
  Submit = 'submit',
  Tick = 'tick',
}

/** An event for `decideJournal`. */
export type JournalEvent =
  /** The state below `to` is known from a state transfer. */
  | {
      readonly kind: JournalEventKind.Advance;
      readonly to: Offset;
      readonly writers: readonly WriterPosition[];
    }
  | {
      readonly kind: JournalEventKind.AppendAnswered;
      readonly append: number;
      readonly firstOffset: Offset;
    }
  | {
      readonly kind: JournalEventKind.AppendFailed;
      readonly append: number;
      readonly failure: AppendFailure;
    }
  /** A peer asked for the records from an offset on. */
  | {
      readonly kind: JournalEventKind.PeerAsked;
      readonly peer: VmId;
      readonly from: Offset;
    }
  /** The live entry VMs, with or without this one. */
  | {
      readonly kind: JournalEventKind.PeersChanged;
      readonly peers: readonly LogPeer[];
    }
  | {
      readonly kind: JournalEventKind.ReadAnswered;
      readonly read: number;
      readonly response: ReadResponse;
    }
  | {
      readonly kind: JournalEventKind.ReadFailed;
      readonly read: number;
      readonly detail: string;
    }
  | {readonly kind: JournalEventKind.Relayed; readonly relay: LogRelay}
  | {
      readonly kind: JournalEventKind.Submit;
      readonly body: RecordBody;
      readonly token: SubmitToken;
      readonly giveUpAt: Deadline;
    }
  /** Time has passed; the host sends it about every 100 ms. */
  | {readonly kind: JournalEventKind.Tick};

/** Kinds of command that `decideJournal` returns. */
export enum JournalCommandKind {
  AskPeers = 'pollPeers',
  Deliver = 'deliver',
  GapFound = 'gapFound',
  RelayToPeers = 'relayToPeers',
  RequestState = 'requestState',
  SendAppend = 'sendAppend',
  SendRead = 'sendRead',
  SubmitResolved = 'submitResolved',
}

/** A command of `decideJournal`. */
export type JournalCommand =
  /** Asks these peers for the records from an offset on. */
  | {
      readonly kind: JournalCommandKind.AskPeers;
      readonly peers: readonly VmId[];
      readonly from: Offset;
    }
  /** Passes the record to every fold; offsets only increase. */
  | {
      readonly kind: JournalCommandKind.Deliver;
      readonly record: CommittedRecord;
    }
  /** Records from `from` up to `oldest` (exclusive) are lost to this VM. */
  | {
      readonly kind: JournalCommandKind.GapFound;
      readonly from: Offset;
      readonly oldest: Offset;
    }
  | {
      readonly kind: JournalCommandKind.RelayToPeers;
      readonly peers: readonly VmId[];
      readonly relay: LogRelay;
    }
  /**
   * Requests a state transfer: the log does not answer, and a peer no longer
   * keeps the next record.
   */
  | {readonly kind: JournalCommandKind.RequestState; readonly from: Offset}
  | {
      readonly kind: JournalCommandKind.SendAppend;
      readonly append: number;
      readonly texts: readonly string[];
    }
  | {
      readonly kind: JournalCommandKind.SendRead;
      readonly read: number;
      readonly from: Offset;
      readonly max: number;
      readonly waitMilliseconds: number;
    }
  | {
      readonly kind: JournalCommandKind.SubmitResolved;
      readonly token: SubmitToken;
      readonly outcome: SubmitOutcome;
      /** Offset of the record if committed; else -1. */
      readonly offset: Offset;
    };
