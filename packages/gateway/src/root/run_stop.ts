import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {GatewayEvent} from '@zinniaspindle/shared';
import type {EventLog} from '../log/event_log.js';
import type {CallerServer} from '../requests/caller_server.js';

/** Some callers keep a directory answer this many times its lifetime. */
const lifetimeFactor = 3;
const marginMilliseconds = 500;
/** The process must have ended before it is killed. */
const endMarginMilliseconds = 500;
const checkMilliseconds = 50;
const millisecondsPerSecond = 1000;

/**
 * Waits until callers have learned that this VM leaves, takes no further
 * connection, and waits for what is in flight while there is time.
 */
export async function runStop(
  callers: CallerServer,
  directorySeconds: number,
  graceMilliseconds: number,
  log: EventLog,
): Promise<void> {
  const startedAt = Date.now();
  const lifetime = directorySeconds * millisecondsPerSecond;
  const linger = lifetime * lifetimeFactor + marginMilliseconds;
  const endAt = startedAt + graceMilliseconds - endMarginMilliseconds;
  log.write(GatewayEvent.Stopping, {lingerMs: linger});
  await waitUntil(Math.min(startedAt + linger, endAt));
  callers.stopListening();
  while (callers.countInFlight() > 0 && Date.now() < endAt) {
    await waitUntil(Date.now() + checkMilliseconds);
  }
  log.write(GatewayEvent.Stopped, {cutOff: callers.countInFlight()});
}

function waitUntil(instant: number): Promise<void> {
  return waitMilliseconds(Math.max(0, instant - Date.now()));
}
