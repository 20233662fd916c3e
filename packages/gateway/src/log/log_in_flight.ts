import {GatewayEvent, type Deadline, type Instant} from '@zinniaspindle/shared';
import type {EventLog} from './event_log.js';

/** Requests are named in lines of about this many bytes. */
const maxLineBytes = 2048;

/**
 * Names the requests in flight during a stop and writes the log out, since a
 * process that is killed can no longer name them.
 */
export function logInFlight(
  ids: readonly string[],
  exitAt: Deadline,
  now: Instant,
  log: EventLog,
): void {
  const untilExitMs = Math.round(exitAt - now);
  let named: string[] = [];
  let bytes = 0;
  const writeNamed = () => {
    const requests = named.join(' ');
    const count = named.length;
    log.write(GatewayEvent.RequestsInFlight, {count, untilExitMs, requests});
    named = [];
    bytes = 0;
  };
  for (const id of ids) {
    named.push(id);
    bytes += id.length + 1;
    if (bytes >= maxLineBytes) writeNamed();
  }
  if (named.length > 0) writeNamed();
  log.writeAll();
}
