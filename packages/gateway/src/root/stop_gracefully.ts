import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {GatewayEvent} from '@zinniaspindle/shared';
import type {EventLog} from '../log/event_log.js';
import type {CallerServer} from '../requests/caller_server.js';

/** Some callers cache a directory answer for this many times its lifetime. */
const lifetimeFactor = 3;
const marginMilliseconds = 500;
/**
 * Time before the end of the grace period at which the process exits, to avoid
 * being killed.
 */
const killMarginMilliseconds = 500;
const pollMilliseconds = 50;
const millisecondsPerSecond = 1000;

/**
 * Keeps serving until callers have dropped this VM from their cached directory
 * answers, then stops listening and waits for the requests in flight until the
 * grace period ends.
 */
export async function stopGracefully(
  callers: CallerServer,
  directoryTtlSeconds: number,
  graceMilliseconds: number,
  log: EventLog,
): Promise<void> {
  const startedAt = Date.now();
  const lifetime = directoryTtlSeconds * millisecondsPerSecond;
  const lingerMilliseconds = lifetime * lifetimeFactor + marginMilliseconds;
  const endAt = startedAt + graceMilliseconds - killMarginMilliseconds;
  log.write(GatewayEvent.Stopping, {lingerMs: lingerMilliseconds});
  await waitUntil(Math.min(startedAt + lingerMilliseconds, endAt));
  callers.stopListening();
  while (callers.countInFlight() > 0 && Date.now() < endAt) {
    await waitUntil(Date.now() + pollMilliseconds);
  }
  callers.logCutOff();
  log.write(GatewayEvent.Stopped, {cutOff: callers.countInFlight()});
}

function waitUntil(instant: number): Promise<void> {
  return waitMilliseconds(Math.max(0, instant - Date.now()));
}
