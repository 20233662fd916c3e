/**
 * Events of the log service, the VM list and the weight store; numbers 1000 to
 * 1999.
 */
export enum PlatformEvent {
  LogUnavailable = 1001,
  LogAvailable = 1002,
  RecordSkipped = 1003,
  RecordDuplicate = 1004,
  LogGapFound = 1005,
  AppendFailed = 1006,
  SubmitResolved = 1007,
  ReaderChanged = 1008,
  PeersAsked = 1009,
  PositionAdvanced = 1010,
}

/** The text of each event; {name} stands for the value of a field. */
export const platformEventTexts: Readonly<Record<PlatformEvent, string>> = {
  [PlatformEvent.LogUnavailable]: 'log service unavailable: {detail}',
  [PlatformEvent.LogAvailable]:
    'log service available again, next offset {next}',
  [PlatformEvent.RecordSkipped]: 'record at offset {offset} skipped: {reason}',
  [PlatformEvent.RecordDuplicate]:
    'record at offset {offset} skipped: duplicate of sequence number {sequence} of writer {writer}',
  [PlatformEvent.LogGapFound]:
    'log records from offset {from} to {oldest} are no longer kept',
  [PlatformEvent.AppendFailed]:
    'append {append} with {records} records failed: {failure}',
  [PlatformEvent.SubmitResolved]:
    'submitted record with sequence number {sequence} resolved: {fate}',
  [PlatformEvent.ReaderChanged]: 'this VM reads from the log service: {reads}',
  [PlatformEvent.PeersAsked]:
    'asked peers for the log records from offset {from} on: {reason}',
  [PlatformEvent.PositionAdvanced]:
    'log position advanced from offset {from} to {to} by a state transfer',
};
