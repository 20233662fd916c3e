/** The decisions of the router, as state machines without I/O. */
export * from './directory/directory.js';
export * from './directory/pick_entries.js';
export * from './drain/drain.js';
export * from './drain/stop_plan.js';
export * from './hashing/rendezvous.js';
export * from './configuration/configuration.js';
export {
  createConfiguration,
  defaultConfigurationOptions,
  type ConfigurationGap,
  type ConfigurationGuards,
  type ConfigurationOptions,
  type ConfigurationState,
  type HistoryEntry,
  type SnapshotPosition,
  type StateTransfer,
} from './configuration/configuration_state.js';
export * from './configuration/errors.js';
export * from './configuration/publish_checks.js';
export * from './configuration/publisher.js';
export * from './configuration/queries.js';
export * from './configuration/selectors.js';
export {makeSnapshotParts} from './configuration/snapshot_parts.js';
export * from './configuration/snapshots.js';
export * from './configuration/staleness.js';
export * from './configuration/state_requests.js';
export * from './configuration/transfer.js';
export * from './answers/index.js';
export * from './connections/index.js';
export * from './actions/commands.js';
export * from './actions/decide.js';
export * from './actions/errors.js';
export * from './actions/inputs.js';
export * from './actions/options.js';
export {
  createActionsState,
  listClaims,
  type ActionsState,
  type ClaimWindow,
} from './actions/state.js';
export * from './leases/decide.js';
export * from './leases/messages.js';
export * from './leases/options.js';
export {createLeasesState, type LeasesState} from './leases/state.js';
export * from './log/errors.js';
export * from './log/journal.js';
export {
  createJournal,
  defaultJournalOptions,
  type JournalGuards,
  type JournalOptions,
  type JournalState,
} from './log/journal_state.js';
export {isCaughtUp} from './log/journal_reads.js';
export {listWriterPositions} from './log/journal_delivery.js';
export * from './log/journal_types.js';
export * from './log/record_codec.js';
export * from './log/records.js';
export * from './log/submission.js';
export * from './membership/digest.js';
export * from './orders/decide.js';
export * from './orders/messages.js';
export * from './orders/options.js';
export {
  createOrdersState,
  findShard,
  type OrdersState,
} from './orders/state.js';
export * from './membership/errors.js';
export * from './membership/membership.js';
export * from './membership/messages.js';
export * from './membership/options.js';
export {listLeavingEndpoints} from './membership/notices.js';
export {
  MembershipCommandKind,
  MembershipEventKind,
  isReachable,
} from './membership/state.js';
export type {
  MembershipCommand,
  MembershipInput,
  MembershipState,
  OwnIdentity,
} from './membership/state.js';
export * from './membership/watchers.js';
export * from './records/index.js';
export * from './requests/index.js';
export * from './step.js';
export * from './routing/index.js';
export * from './bound/index.js';
export * from './admission/index.js';
export * from './ranks/index.js';
export * from './recovery/index.js';
export * from './retries/index.js';
export * from './placement/index.js';
export * from './following/index.js';
export * from './stages/index.js';
export * from './prompts/index.js';
export * from './explain/index.js';
export * from './intake/index.js';
export * from './quarantine/index.js';
export * from './links/index.js';
