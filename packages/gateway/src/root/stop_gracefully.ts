import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {canExit, type StopPlan} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {EventLog} from '../log/event_log.js';
import type {CallerServer} from '../requests/caller_server.js';

const pollMilliseconds = 50;
/** Time for the last answers to be written out. */
const flushMilliseconds = 50;

/**
 * Keeps serving until callers have dropped this VM from their cached directory
 * answers and the requests in flight are answered, at the latest until the grace
 * period ends.
 */
export async function stopGracefully(
  plan: StopPlan,
  sentAt: Instant,
  callers: CallerServer,
  getNow: () => Instant,
  log: EventLog,
): Promise<void> {
  log.write(GatewayEvent.Stopping, {
    lingerMs: Math.round(plan.lingerUntil - plan.startedAt),
    exitMs: Math.round(plan.exitAt - plan.startedAt),
    inFlight: callers.countInFlight(),
    sentMs: Math.round(plan.startedAt - sentAt),
  });
  while (!canExit(plan, callers.countInFlight(), getNow())) {
    await waitMilliseconds(pollMilliseconds);
  }
  // Nothing may run between the last look at the requests in flight and the exit,
  // unless the time for new requests is over.
  if (callers.countInFlight() > 0) {
    callers.answerRest();
    await waitMilliseconds(flushMilliseconds);
  }
  callers.logCutOff();
  log.write(GatewayEvent.Stopped, {cutOff: callers.countInFlight()});
}
