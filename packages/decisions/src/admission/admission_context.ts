import {
  RoutingEvent,
  type Instant,
  type LogEvent,
  type Random,
} from '@zinniaspindle/shared';
import {
  AdmissionCommandKind,
  type AdmissionCommand,
  type RefusalReason,
  type WorkItem,
} from './messages.js';
import type {AdmissionState, AdmissionTools} from './state.js';

/** Inputs of one admission decision, with its commands and log events. */
export interface AdmissionContext {
  readonly state: AdmissionState;
  readonly tools: AdmissionTools;
  readonly now: Instant;
  readonly random: Random;
  readonly commands: AdmissionCommand[];
  readonly logEvents: LogEvent[];
}

/** Adds the command that refuses a request, and its log event. */
export function addRefusal(
  context: AdmissionContext,
  work: WorkItem,
  reason: RefusalReason,
  retryAt: Instant,
): void {
  const {request, account} = work;
  const kind = AdmissionCommandKind.Refuse as const;
  context.commands.push({kind, request, reason, retryAt});
  const fields = {request, account, reason, retryAt: Math.round(retryAt)};
  context.logEvents.push({event: RoutingEvent.WorkRefused, fields});
}
