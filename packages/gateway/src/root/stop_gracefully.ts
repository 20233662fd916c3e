import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {canExit, type StopPlan} from '@zinniaspindle/decisions';
import {GatewayEvent, isPast, type Instant} from '@zinniaspindle/shared';
import type {EventLog} from '../log/event_log.js';
import {logInFlight} from '../log/log_in_flight.js';
import type {CallerServer} from '../requests/caller_server.js';

const pollMilliseconds = 50;
/** Last part of a stop, before which the requests in flight are logged again. */
const lastPartShare = 1 / 10;
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
  const {startedAt, exitAt} = plan;
  const logAgainAt = exitAt - (exitAt - startedAt) * lastPartShare;
  logInFlight(callers.listInFlight(), exitAt, getNow(), log);
  let isLoggedAgain = false;
  while (!canExit(plan, callers.countInFlight(), getNow())) {
    if (!isLoggedAgain && isPast(logAgainAt, getNow())) {
      logInFlight(callers.listInFlight(), exitAt, getNow(), log);
      isLoggedAgain = true;
    }
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
