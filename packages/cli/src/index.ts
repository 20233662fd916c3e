/** The command line, and the small fleet that its demo runs. */
export {
  startEntryFleet,
  type EntryFleet,
  type EntryProcess,
} from './demo/entry_fleet.js';
export {findToken, publishFleet} from './demo/publish_fleet.js';
export {waitReady} from './demo/wait_ready.js';
export {
  fetchJson,
  openCall,
  readText,
  type EntryCall,
  type EntryTarget,
} from './entry_client.js';
export {readEvents, type ServerSentEvent} from './event_stream.js';
export {CliError, CliErrorCode} from './errors.js';
export {runCli} from './program.js';
export {
  RequestOutcomeKind,
  sendRequest,
  type CallerRequest,
  type RequestOutcome,
} from './send_request.js';
