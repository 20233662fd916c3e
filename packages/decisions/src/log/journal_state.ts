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

/** Options of a journal. */
export interface JournalOptions {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
  readonly writer: WriterId;
  readonly maxBatchRecords: number;
  /** An append stops growing once its texts reach this many characters. */
  readonly maxBatchCharacters: number;
  /** Bounds of the interval between two appends. */
  readonly minAppendIntervalMilliseconds: number;
  readonly maxAppendIntervalMilliseconds: number;
  /** Maximum interval between two appends while the log does not answer. */
  readonly maxRetryIntervalMilliseconds: number;
  /** Time after which the outcome of an unanswered append is unknown. */
  readonly appendTimeoutMilliseconds: number;
  readonly maxReadRecords: number;
  /** A relay stops growing once its records reach this many characters. */
  readonly maxRelayCharacters: number;
  /** How long the log waits for a record before it answers a read. */
  readonly readWaitMilliseconds: number;
  /** Timeout of a read, in addition to `readWaitMilliseconds`. */
  readonly readTimeoutMilliseconds: number;
  /** Time between an answer and the next read; 0 while records are missing. */
  readonly readDelayMilliseconds: number;
  /** Mean time between a failed read and the next. */
  readonly readRetryMilliseconds: number;
  /** Number of VMs in a data centre that read the log for the others. */
  readonly readersPerDataCentre: number;
  /** Maximum time between two relays of a reader. */
  readonly relayIntervalMilliseconds: number;
  /** Age of the delivered log from which any VM reads it directly. */
  readonly staleMilliseconds: number;
  /** Time between two queries to peers. */
  readonly askDelayMilliseconds: number;
  /** Number of peers asked by one query. */
  readonly askedPeers: number;
  /** Minimum number of records kept to answer peers. */
  readonly recentRecords: number;
  /**
   * How long, in log time, a writer's last sequence is kept. Must be longer
   * than an append can take to reach the log.
   */
  readonly writerRetentionMilliseconds: number;
  readonly guards: JournalGuards;
}

/** Safety checks; only tests may disable them. */
export interface JournalGuards {
  /**
   * Resolves a record as committed when it is read back, not when its append is
   * answered.
   */
  readonly commitsAtReadBack: boolean;
  /** Drops records whose writer and sequence were delivered already. */
  readonly dropsDuplicates: boolean;
  /** Drops records below the position. */
  readonly movesForwardOnly: boolean;
  /** Never resolves a record that may be in the log as never sent. */
  readonly tracksUncertainAppends: boolean;
}

/** Production defaults, without the VM's own names. */
export const defaultJournalOptions: Omit<
  JournalOptions,
  'dataCentre' | 'vm' | 'writer'
> = {
  maxBatchRecords: 256,
  maxBatchCharacters: 512 * 1024,
  minAppendIntervalMilliseconds: 20,
  maxAppendIntervalMilliseconds: 4000,
  maxRetryIntervalMilliseconds: 1000,
  appendTimeoutMilliseconds: 2000,
  maxReadRecords: 1000,
  maxRelayCharacters: 1024 * 1024,
  readWaitMilliseconds: 1000,
  readTimeoutMilliseconds: 1500,
  readDelayMilliseconds: 50,
  readRetryMilliseconds: 500,
  readersPerDataCentre: 2,
  relayIntervalMilliseconds: 1000,
  staleMilliseconds: 3000,
  askDelayMilliseconds: 1000,
  askedPeers: 2,
  recentRecords: 4096,
  writerRetentionMilliseconds: 10 * 60 * 1000,
  guards: {
    commitsAtReadBack: true,
    dropsDuplicates: true,
    movesForwardOnly: true,
    tracksUncertainAppends: true,
  },
};

/**
 * A submitted record, until its outcome is final.
 * @internal
 */
export interface Entry {
  readonly sequence: number;
  /** Undefined once the entry is expired. */
  readonly body: RecordBody | undefined;
  /** Undefined for a fence that the journal itself submits. */
  readonly token: SubmitToken | undefined;
  readonly giveUpAt: Deadline;
  /** The encoded record; undefined before its first append. */
  text: string | undefined;
  /** Whether an append with this record may have been executed. */
  mayBeInLog: boolean;
  /** Whether the deadline passed and it was resolved as unknown. */
  isExpired: boolean;
}

/**
 * The append in flight.
 * @internal
 */
export interface Batch {
  readonly append: number;
  readonly entries: readonly Entry[];
  readonly timeoutAt: Deadline;
}

/** The state of a journal. */
export interface JournalState {
  readonly options: JournalOptions;
  /** Next offset to deliver. */
  position: Offset;
  /** Offset after the last record that was delivered to the folds. */
  deliveredEndOffset: Offset;
  /** Highest known end offset of the log (exclusive); -1 while unknown. */
  logEndOffset: Offset;
  /** Lowest offset that the log keeps, as far as this VM knows. */
  oldest: Offset;
  /**
   * When the log or a peer last reported the end offset; -Infinity if never.
   */
  lastContactAt: Instant;
  /** Last time at which `logEndOffset` was read from the log. */
  logEndAsOf: Instant;
  /** Last time as of which every record of the log is delivered here. */
  caughtUpAsOf: Instant;
  /** Highest log time of the records read. */
  logTime: number;
  readonly writers: Map<WriterId, WriterPosition>;
  /** The last records that were delivered, kept to answer peers. */
  recent: StoredRecord[];

  nextSequence: number;
  nextAppend: number;
  /** Entries that wait for an append, by sequence. */
  queue: Entry[];
  batch: Batch | undefined;
  /** Entries whose append was answered, not read back yet, by sequence. */
  readonly acknowledged: Map<number, Entry>;
  /** Entries resolved as unknown, by sequence; another outcome may follow. */
  readonly expired: Map<number, Entry>;
  readonly tokens: Set<SubmitToken>;
  nextAppendAt: Instant;
  appendIntervalMilliseconds: number;

  nextRead: number;
  read: {read: number; sentAt: Instant; timeoutAt: Deadline} | undefined;
  nextReadAt: Instant;
  logAvailable: boolean;
  isReader: boolean;
  peers: readonly LogPeer[];
  nextRelayAt: Instant;
  nextAskAt: Instant;
}

/** Creates the journal of a VM that has not read the log yet. */
export function createJournal(
  options: JournalOptions,
  now: Instant,
): JournalState {
  return {
    options,
    position: 0,
    deliveredEndOffset: 0,
    logEndOffset: -1,
    oldest: 0,
    lastContactAt: -Infinity,
    logEndAsOf: -Infinity,
    caughtUpAsOf: -Infinity,
    logTime: 0,
    writers: new Map(),
    recent: [],
    nextSequence: 0,
    nextAppend: 0,
    queue: [],
    batch: undefined,
    acknowledged: new Map(),
    expired: new Map(),
    tokens: new Set(),
    nextAppendAt: now,
    appendIntervalMilliseconds: options.minAppendIntervalMilliseconds,
    nextRead: 0,
    read: undefined,
    nextReadAt: now,
    logAvailable: true,
    isReader: true,
    peers: [],
    nextRelayAt: now,
    nextAskAt: now,
  };
}

/**
 * The input of one decision of the journal, and its commands and log events so
 * far.
 * @internal
 */
export interface JournalTurn {
  readonly state: JournalState;
  readonly now: Instant;
  readonly random: Random;
  readonly commands: JournalCommand[];
  readonly logEvents: LogEvent[];
}
