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
  callers: CallerServer,
  getNow: () => Instant,
  log: EventLog,
): Promise<void> {
  log.write(GatewayEvent.Stopping, {
    lingerMs: Math.round(plan.lingerUntil - plan.startedAt),
    exitMs: Math.round(plan.exitAt - plan.startedAt),
    inFlight: callers.countInFlight(),
  });
  while (!canExit(plan, callers.countInFlight(), getNow())) {
    await waitMilliseconds(pollMilliseconds);
  }
  callers.answerRest();
  await waitMilliseconds(flushMilliseconds);
  callers.logCutOff();
  log.write(GatewayEvent.Stopped, {cutOff: callers.countInFlight()});
}
