import {computeLateWait, computeQueueTimeout} from '@zinniaspindle/decisions';
import type {Deadline, Instant} from '@zinniaspindle/shared';
import {Latency} from '../log/metrics.js';
import type {ServiceModel} from '../ports/index.js';
import type {RequestContext} from './request_context.js';

/** Until when a new stream waits for a place. */
export interface WaitEnds {
  /** It can be answered in time with a place before this instant. */
  readonly waitUntil: Deadline;
  /** It may wait on for what others leave; undefined if not. */
  readonly lateUntil: Deadline | undefined;
}

/**
 * Computes until when a new stream waits. It waits on when it is late if the
 * engine states its figures, from which the room on paths is known well enough.
 * @param since when it was received, or last made progress
 */
export function computeWaitEnds(
  {server, service, route}: RequestContext,
  model: ServiceModel,
  since: Instant,
): WaitEnds {
  const {targetLatencyMilliseconds: target} = route;
  const timeout = computeQueueTimeout(
    target,
    server.paths.hasUsable(service.name, model),
    server.metrics.findMedian(Latency.FirstEvent),
  );
  const isTimed = model.figures !== undefined;
  return {
    waitUntil: since + timeout,
    lateUntil: isTimed ? since + computeLateWait(target) : undefined,
  };
}
