import {AnswerStage} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import {EndWatch} from '../fleet/end_watch.js';
import type {EventLog} from '../log/event_log.js';
import type {Metrics} from '../log/metrics.js';
import type {PeerMessage} from '../peers/messages.js';
import {AnswerNews, computeNewsTime} from '../quarantine/answer_news.js';
import {PartMessages} from '../quarantine/part_messages.js';
import {PartQuarantine} from '../quarantine/part_quarantine.js';

/** What refuses requests whose prompts have parts that end endpoints. */
export interface QuarantineParts {
  readonly ends: EndWatch;
  readonly quarantine: PartQuarantine;
  readonly partMessages: PartMessages;
}

/** What this VM is in the fleet. */
export interface FleetRole {
  /** Number of live VMs. */
  countVms(): number;
  /** Number of endpoints of a service that requests are sent to. */
  countEndpoints(service: string): number;
  /** Whether this VM is one of the few that are the first to tell news. */
  isVoter(): boolean;
  /** Whether there are VMs that are not. */
  hasOthers(): boolean;
}

/** Builds the parts that accuse, clear and refuse parts of prompts. */
export function buildQuarantine(
  {log, getNow}: {readonly log: EventLog; readonly getNow: () => Instant},
  metrics: Metrics,
  fleet: FleetRole,
  sendAll: (message: PeerMessage) => void,
): QuarantineParts {
  const clocks = {getNow, getWallClock: Date.now};
  const ends = new EndWatch(log.write, getNow, ended => {
    partMessages.handleEnd(ended);
  });
  const makeNews = (stage: AnswerStage) =>
    new AnswerNews(
      (service, answeredAt) =>
        partMessages.sendAnswered(service, answeredAt, stage),
      () => fleet.isVoter(),
      Math.random,
    );
  const news = {
    [AnswerStage.Begun]: makeNews(AnswerStage.Begun),
    [AnswerStage.Lasting]: makeNews(AnswerStage.Lasting),
  };
  const quarantine = new PartQuarantine(
    clocks,
    () => fleet.countVms(),
    service => fleet.countEndpoints(service),
    () => computeNewsTime(fleet.hasOthers()),
    news,
    metrics,
    log.write,
  );
  const partMessages = new PartMessages(ends, quarantine, sendAll, clocks);
  return {ends, quarantine, partMessages};
}
