import type {
  AccountId,
  ConfigObject,
  EndpointObject,
  ModelName,
  ObjectKey,
  PipelineName,
  PublishId,
} from '@zinniaspindle/shared';
import type {WriterPosition} from '../log/journal_types.js';
import type {
  Offset,
  CommittedRecord,
  PublishOutcome,
  RevisedObject,
  WriterId,
} from '../log/records.js';
import type {Selector} from './selectors.js';

/** Safety checks; only tests may disable them. */
export interface ConfigurationGuards {
  /** Refuses a change whose base is not the object's current revision. */
  readonly checksBase: boolean;
  /** Ignores records and transfers below the position. */
  readonly movesForwardOnly: boolean;
  /** Folds only the first record of a publish id. */
  readonly foldsPublishOnce: boolean;
  /** Folds nothing after a gap until a snapshot or transfer covers it. */
  readonly waitsForSnapshot: boolean;
}

/** Options of a configuration; must be the same on all VMs. */
export interface ConfigurationOptions {
  /** The only operator that may publish into an empty configuration. */
  readonly bootstrapOperator: AccountId;
  /**
   * The configuration is assumed empty below this offset. 0 unless the log and
   * every VM were lost together and operators start over.
   */
  readonly emptyBelow: Offset;
  readonly maxOutcomes: number;
  readonly maxHistory: number;
  readonly maxHistoryPerObject: number;
  readonly guards: ConfigurationGuards;
}

/** Production defaults, without the operator's name. */
export const defaultConfigurationOptions: Omit<
  ConfigurationOptions,
  'bootstrapOperator'
> = {
  emptyBelow: 0,
  maxOutcomes: 8192,
  maxHistory: 8192,
  maxHistoryPerObject: 16,
  guards: {
    checksBase: true,
    movesForwardOnly: true,
    foldsPublishOnce: true,
    waitsForSnapshot: true,
  },
};

/** An accepted change of an object. */
export interface HistoryEntry {
  readonly key: ObjectKey;
  readonly revision: Offset;
  readonly publish: PublishId;
  readonly operator: AccountId;
  /** The object after the change; absent if it was deleted. */
  readonly object?: ConfigObject;
}

/** A range of records that this VM can't read any more. */
export interface ConfigurationGap {
  readonly from: Offset;
  /** A snapshot must cover every record below this offset. */
  readonly oldest: Offset;
}

/** The complete configuration, sent from one VM to another. */
export interface StateTransfer {
  /** The transfer contains the fold of every record below this offset. */
  readonly covers: Offset;
  readonly objects: readonly RevisedObject[];
  /** Outcomes of the last publishes. */
  readonly fates: readonly PublishOutcome[];
  /** The journal's last sequence of each writer at `covers`. */
  readonly writers: readonly WriterPosition[];
  /** The last complete log snapshot that the sender knows. */
  readonly snapshot?: SnapshotPosition;
}

/** The position of a complete snapshot in the log. */
export interface SnapshotPosition {
  readonly covers: Offset;
  /** Offset of its last part. */
  readonly offset: Offset;
  /** Log time of its last part. */
  readonly time: number;
}

/**
 * A snapshot of which not all parts are read yet.
 * @internal
 */
export interface PartialSnapshot {
  readonly covers: Offset;
  readonly parts: number;
  nextPart: number;
  readonly objects: RevisedObject[];
  readonly fates: PublishOutcome[];
}

/**
 * A cached list of the endpoints that a pipeline selects.
 * @internal
 */
export interface SelectedEndpoints {
  /** Version of the model for which the list was computed. */
  readonly version: number;
  readonly endpoints: readonly EndpointObject[];
}

/** The configuration at an offset; read it through the queries. */
export interface ConfigurationState {
  readonly options: ConfigurationOptions;
  /** Every record below this offset is folded. */
  position: Offset;
  /** Objects by formatted key. */
  objects: Map<string, RevisedObject>;
  /** Outcomes by publish, in order of offset. */
  outcomes: Map<PublishId, PublishOutcome>;
  /** Accepted changes by formatted key; `historyKeys` in order of offset. */
  history: Map<string, HistoryEntry[]>;
  historyKeys: string[];
  gap: ConfigurationGap | undefined;
  /** Publishes that were read after a gap that is not covered yet. */
  pending: CommittedRecord[];
  snapshots: Map<WriterId, PartialSnapshot>;
  /** The last complete snapshot. */
  snapshot: SnapshotPosition | undefined;

  /** Accounts by token digest. */
  tokens: Map<string, AccountId>;
  /** Formatted keys of the pipelines of a model, and of its endpoints. */
  modelPipelines: Map<ModelName, Set<string>>;
  modelEndpoints: Map<ModelName, Set<string>>;
  operators: Set<AccountId>;
  selectors: Map<string, Selector>;
  /** Incremented by every change of a pipeline or endpoint. */
  version: number;
  /** Version of the last change of each model's pipelines and endpoints. */
  modelVersions: Map<ModelName, number>;
  /** Cached endpoint lists; valid while the model's version is the same. */
  selected: Map<PipelineName, SelectedEndpoints>;
}

/** Creates the configuration of a VM that has folded nothing yet. */
export function createConfiguration(
  options: ConfigurationOptions,
): ConfigurationState {
  return {
    options,
    position: 0,
    objects: new Map(),
    outcomes: new Map(),
    history: new Map(),
    historyKeys: [],
    gap: undefined,
    pending: [],
    snapshots: new Map(),
    snapshot: undefined,
    tokens: new Map(),
    modelPipelines: new Map(),
    modelEndpoints: new Map(),
    operators: new Set(),
    selectors: new Map(),
    version: 0,
    modelVersions: new Map(),
    selected: new Map(),
  };
}
