import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {canClose, type StopPlan} from '@zinniaspindle/decisions';
import {
  GatewayEvent,
  isPast,
  type Deadline,
  type Instant,
} from '@zinniaspindle/shared';
import type {EventLog} from '../log/event_log.js';
import {logInFlight} from '../log/log_in_flight.js';
import type {CallerServer} from '../requests/caller_server.js';

const pollMilliseconds = 20;
/** Last part of a stop, before which the requests in flight are logged again. */
const lastPartShare = 1 / 10;
/** Time for the last answers to be written out. */
const flushMilliseconds = 100;

/**
 * Keeps serving until callers have dropped this VM from their cached directory
 * answers and the requests in flight are answered, those of peers included whose
 * connections it passes on, at the latest until the grace period ends. Then the connections are closed, so that nothing is taken or left
 * unread between the last look at the requests in flight and the exit.
 */
export async function stopGracefully(
  plan: StopPlan,
  sentAt: Instant,
  callers: CallerServer,
  countRelayed: () => number,
  getNow: () => Instant,
  log: EventLog,
): Promise<void> {
  log.write(GatewayEvent.Stopping, {
    lingerMs: Math.round(plan.lingerUntil - plan.startedAt),
    exitMs: Math.round(plan.exitAt - plan.startedAt),
    inFlight: callers.countInFlight(),
    sentMs: Math.round(plan.startedAt - sentAt),
  });
  const {startedAt, exitAt} = plan;
  const logAgainAt = exitAt - (exitAt - startedAt) * lastPartShare;
  logInFlight(callers.listInFlight(), exitAt, getNow(), log);
  let isLoggedAgain = false;
  const countOpen = () => callers.countInFlight() + countRelayed();
  while (!canClose(plan, countOpen(), getNow())) {
    if (!isLoggedAgain && isPast(logAgainAt, getNow())) {
      logInFlight(callers.listInFlight(), exitAt, getNow(), log);
      isLoggedAgain = true;
    }
    await waitMilliseconds(pollMilliseconds);
  }
  log.write(GatewayEvent.Closing, {
    sinceMs: Math.round(getNow() - plan.startedAt),
    inFlight: callers.countInFlight(),
  });
  await callers.closeListener();
  const waitForAnswers = async (until: Deadline) => {
    while (callers.countInFlight() > 0 && getNow() < until) {
      await waitMilliseconds(pollMilliseconds);
    }
  };
  await waitForAnswers(plan.exitAt - flushMilliseconds);
  callers.answerRest();
  // A process that was held up until now still needs the time to write.
  await waitForAnswers(Math.max(plan.exitAt, getNow() + flushMilliseconds));
  await callers.closeIdle();
  callers.logCutOff();
  log.write(GatewayEvent.Stopped, {cutOff: callers.countInFlight()});
}
