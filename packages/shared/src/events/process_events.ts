/**
 * Events of the process, its supervised children and the peer transport;
 * numbers 9000 to 9999.
 */
export enum ProcessEvent {
  Started = 9001,
  Stopped = 9002,
  ChildFailed = 9003,
  PeerRejected = 9004,
  Ready = 9005,
  NotReady = 9006,
  TaskFailed = 9007,
}

/** The text of each event; {name} stands for the value of a field. */
export const processEventTexts: Readonly<Record<ProcessEvent, string>> = {
  [ProcessEvent.Started]: 'entry VM {vm} started',
  [ProcessEvent.Stopped]: 'entry VM {vm} stopped',
  [ProcessEvent.ChildFailed]:
    'child {child} failed and will be restarted: {detail}',
  [ProcessEvent.PeerRejected]: 'peer connection from {remote} closed: {detail}',
  [ProcessEvent.Ready]: 'ready for new requests',
  [ProcessEvent.NotReady]: 'not ready for new requests: {reason}',
  [ProcessEvent.TaskFailed]: 'background task failed: {detail}',
};
