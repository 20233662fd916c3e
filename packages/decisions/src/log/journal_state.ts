import type {
  DataCentreId,
  Deadline,
  Instant,
  LogEvent,
  Random,
  StoredRecord,
  VmId,
} from '@zinniaspindle/shared';
import type {
  JournalCommand,
  LogPeer,
  SubmitToken,
  WriterPosition,
} from './journal_types.js';
import type {Offset, RecordBody, WriterId} from './records.js';

/** How a journal is set up. */
export interface JournalOptions {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
  readonly writer: WriterId;
  readonly maxBatchRecords: number;
  /** An append stops growing once its texts reach this many characters. */
  readonly maxBatchCharacters: number;
  /** Least and most milliseconds between two appends. */
  readonly minAppendMilliseconds: number;
  readonly maxAppendMilliseconds: number;
  /** Most milliseconds between two appends while the log does not answer. */
  readonly maxRetryMilliseconds: number;
  /** Milliseconds after which an append without an answer is unknown. */
  readonly appendTimeoutMilliseconds: number;
  readonly maxReadRecords: number;
  /** A relay stops growing once its records reach this many characters. */
  readonly maxRelayCharacters: number;
  /** Milliseconds that the log holds back a read that finds nothing. */
  readonly readWaitMilliseconds: number;
  /** Milliseconds, above the wait, after which a read has failed. */
  readonly readTimeoutMilliseconds: number;
  /** Least milliseconds between an answer and the next read. */
  readonly readGapMilliseconds: number;
  /** Milliseconds after a failed read before the next. */
  readonly readRetryMilliseconds: number;
  /** VMs of a data centre that read the log for the others. */
  readonly readersPerDataCentre: number;
  /** Milliseconds between two relays of a reader. */
  readonly relayMilliseconds: number;
  /** Milliseconds without news after which any VM reads by itself. */
  readonly silenceMilliseconds: number;
  /** Milliseconds between two questions to peers. */
  readonly askMilliseconds: number;
  readonly askedPeers: number;
  /** Records kept to answer peers. */
  readonly ringRecords: number;
  /**
   * Milliseconds, in log time, that a writer's last sequence is remembered;
   * longer than an append can stay on its way to the log.
   */
  readonly writerMemoryMilliseconds: number;
  readonly guards: JournalGuards;
}

/** Safety checks that only a test may switch off. */
export interface JournalGuards {
  /** A record is placed when read back, not when its append is answered. */
  readonly placesAtReadBack: boolean;
  /** A record of a folded writer and sequence is dropped. */
  readonly dropsRepeats: boolean;
  /** Records below the position are dropped. */
  readonly movesForwardOnly: boolean;
  /** A record that may be in the log is never resolved as never sent. */
  readonly tracksMaybeSent: boolean;
}

/** The settings of a production VM, but for its own names. */
export const defaultJournalOptions: Omit<
  JournalOptions,
  'dataCentre' | 'vm' | 'writer'
> = {
  maxBatchRecords: 256,
  maxBatchCharacters: 512 * 1024,
  minAppendMilliseconds: 20,
  maxAppendMilliseconds: 4000,
  maxRetryMilliseconds: 1000,
  appendTimeoutMilliseconds: 2000,
  maxReadRecords: 1000,
  maxRelayCharacters: 1024 * 1024,
  readWaitMilliseconds: 1000,
  readTimeoutMilliseconds: 1500,
  readGapMilliseconds: 50,
  readRetryMilliseconds: 500,
  readersPerDataCentre: 2,
  relayMilliseconds: 1000,
  silenceMilliseconds: 3000,
  askMilliseconds: 1000,
  askedPeers: 2,
  ringRecords: 4096,
  writerMemoryMilliseconds: 10 * 60 * 1000,
  guards: {
    placesAtReadBack: true,
    dropsRepeats: true,
    movesForwardOnly: true,
    tracksMaybeSent: true,
  },
};

/**
 * A record that is to be appended.
 * @internal
 */
export interface Entry {
  readonly sequence: number;
  /** Dropped once the entry is given up. */
  readonly body: RecordBody | undefined;
  /** Absent for a fence of the journal's own. */
  readonly token: SubmitToken | undefined;
  readonly giveUpAt: Deadline;
  /** The encoded record, once it was in a batch. */
  text: string | undefined;
  /** Whether an append that may have been placed carried it. */
  maybeSent: boolean;
  /** Whether it was resolved as unknown already. */
  givenUp: boolean;
}

/**
 * The append under way.
 * @internal
 */
export interface Batch {
  readonly append: number;
  readonly entries: readonly Entry[];
  readonly timeoutAt: Deadline;
}

/** Everything a journal knows; opaque to its host but for `position`. */
export interface JournalState {
  readonly options: JournalOptions;
  /** Next offset to deliver. */
  position: Offset;
  /** Offset behind the last record that was handed to the folds. */
  deliveredNext: Offset;
  /** Highest next offset of the log heard of; -1 before any. */
  heardNext: Offset;
  /** Lowest offset that the log keeps, as far as known. */
  oldest: Offset;
  /** When the log or a peer last told its next offset; -Infinity before any. */
  heardAt: Instant;
  /** Last instant at which `heardNext` was true of the log. */
  heardAsOf: Instant;
  /** Last instant at which all of the log was delivered here. */
  currentAsOf: Instant;
  /** Greatest log time seen. */
  logTime: number;
  readonly writers: Map<WriterId, WriterPosition>;
  ring: StoredRecord[];

  nextSequence: number;
  nextAppend: number;
  /** Not in an append now, by sequence. */
  queue: Entry[];
  batch: Batch | undefined;
  /** Answered as placed, not read back yet, by sequence. */
  readonly answered: Map<number, Entry>;
  /** Resolved as unknown; another fate may follow. */
  readonly givenUp: Map<number, Entry>;
  readonly tokens: Set<SubmitToken>;
  appendAt: Instant;
  appendGapMilliseconds: number;

  nextRead: number;
  read: {read: number; sentAt: Instant; timeoutAt: Deadline} | undefined;
  readAt: Instant;
  logAvailable: boolean;
  isReader: boolean;
  peers: readonly LogPeer[];
  relayAt: Instant;
  askAt: Instant;
}

/** Creates the journal of a VM that knows nothing yet. */
export function createJournal(
  options: JournalOptions,
  now: Instant,
): JournalState {
  return {
    options,
    position: 0,
    deliveredNext: 0,
    heardNext: -1,
    oldest: 0,
    heardAt: -Infinity,
    heardAsOf: -Infinity,
    currentAsOf: -Infinity,
    logTime: 0,
    writers: new Map(),
    ring: [],
    nextSequence: 0,
    nextAppend: 0,
    queue: [],
    batch: undefined,
    answered: new Map(),
    givenUp: new Map(),
    tokens: new Set(),
    appendAt: now,
    appendGapMilliseconds: options.minAppendMilliseconds,
    nextRead: 0,
    read: undefined,
    readAt: now,
    logAvailable: true,
    isReader: true,
    peers: [],
    relayAt: now,
    askAt: now,
  };
}

/**
 * What one decision of the journal works on.
 * @internal
 */
export interface JournalTurn {
  readonly state: JournalState;
  readonly now: Instant;
  readonly random: Random;
  readonly commands: JournalCommand[];
  readonly logEvents: LogEvent[];
}
