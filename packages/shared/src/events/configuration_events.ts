/** Events of configuration and publishing; numbers 2000 to 2999. */
export enum ConfigurationEvent {
  PublishAccepted = 2001,
  PublishRefused = 2002,
  PublishDuplicate = 2003,
  GapOpened = 2004,
  GapClosed = 2005,
  SnapshotDiscarded = 2006,
  SnapshotCompleted = 2007,
  SnapshotStarted = 2008,
  SnapshotCancelled = 2009,
  TransferApplied = 2010,
  TransferSkipped = 2011,
  PublishSubmitted = 2012,
  PublishAnswered = 2013,
  VmNotReady = 2014,
  VmReady = 2015,
  StateRequested = 2016,
}

/** The text of each event; {name} stands for the value of a field. */
export const configurationEventTexts: Readonly<
  Record<ConfigurationEvent, string>
> = {
  [ConfigurationEvent.PublishAccepted]:
    'publish {publish} accepted at offset {offset}',
  [ConfigurationEvent.PublishRefused]: 'publish {publish} refused: {reason}',
  [ConfigurationEvent.PublishDuplicate]:
    'publish {publish} at offset {offset} ignored: duplicate of the one at offset {first}',
  [ConfigurationEvent.GapOpened]:
    'configuration lacks the log records from offset {from} to {oldest}; waiting for a snapshot',
  [ConfigurationEvent.GapClosed]:
    'configuration loaded up to offset {covers}; {pending} later publishes applied on top',
  [ConfigurationEvent.SnapshotDiscarded]:
    'incomplete snapshot of writer {writer} discarded at part {part}: {reason}',
  [ConfigurationEvent.SnapshotCompleted]:
    'snapshot up to offset {covers} completed at offset {offset}',
  [ConfigurationEvent.SnapshotStarted]:
    'started to append a snapshot up to offset {covers} in {parts} parts',
  [ConfigurationEvent.SnapshotCancelled]:
    'own snapshot up to offset {covers} cancelled: another VM started one first',
  [ConfigurationEvent.TransferApplied]:
    'state transfer up to offset {covers} applied: {objects} objects',
  [ConfigurationEvent.TransferSkipped]:
    'state transfer up to offset {covers} skipped: this VM is already at offset {position}',
  [ConfigurationEvent.PublishSubmitted]:
    'publish {publish} of operator {operator} submitted to the log: {changes} changes',
  [ConfigurationEvent.PublishAnswered]: 'publish {publish} answered: {answer}',
  [ConfigurationEvent.VmNotReady]: 'this VM is not ready: {reason}',
  [ConfigurationEvent.StateRequested]:
    'requested a state transfer from peer {peer}',
  [ConfigurationEvent.VmReady]: 'this VM is ready at log offset {position}',
};
