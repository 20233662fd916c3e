import {
  AnswerStage,
  hasMissed,
  pickAttempts,
  parseQuarantine,
} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import {
  EndReason,
  type EndedEndpoint,
  type EndWatch,
} from '../fleet/end_watch.js';
import {getIncarnationKey, type Incarnation} from '../fleet/notice_table.js';
import {
  makeAnsweredMessage,
  makeEndedMessage,
  type AnsweredPartRow,
  type AnsweredParts,
  type EndedAttemptRow,
  type EndedRequests,
  type PeerMessage,
} from '../peers/messages.js';
import type {Clocks, PartQuarantine} from './part_quarantine.js';

/** Exchanges with the peers what accuses and clears the parts of prompts. */
export class PartMessages {
  constructor(
    private readonly ends: EndWatch,
    private readonly quarantine: PartQuarantine,
    private readonly sendAll: (message: PeerMessage) => void,
    private readonly clocks: Clocks,
  ) {}

  /** Records and sends what broke of this VM at an endpoint that has ended. */
  handleEnd({endpoint, service, endedAt, attempts}: EndedEndpoint): void {
    this.quarantine.recordEnd(service, {
      endpoint: getIncarnationKey(endpoint),
      endedAt,
      attempts,
    });
    const now = this.clocks.getNow();
    const rows: EndedAttemptRow[] = [];
    const begun: EndedAttemptRow[] = [];
    for (const attempt of pickAttempts(attempts)) {
      const {request, traits, sentAt} = attempt;
      const isUnbegun = hasMissed(attempt, AnswerStage.Begun);
      const row = [request, traits, Math.ceil(now - sentAt)] as const;
      (isUnbegun ? rows : begun).push(row);
    }
    const message = makeEndedMessage(endpoint, {
      service,
      sentAt: this.clocks.getWallClock(),
      ageMilliseconds: Math.ceil(now - endedAt),
      attempts: rows,
      ...(begun.length > 0 ? {begun} : {}),
    });
    this.sendAll(message);
  }

  /** Records what a peer sent of an endpoint that has ended. */
  acceptEnded(
    endpoint: Incarnation,
    {service, ageMilliseconds, attempts, begun = []}: EndedRequests,
    writtenAt: Instant,
  ): void {
    this.ends.recordEnd(endpoint, service, EndReason.Peer);
    const readRows = (rows: readonly EndedAttemptRow[], hasBegun: boolean) =>
      rows.map(([request, traits, age]) => {
        return {request, traits, sentAt: writtenAt - age, hasBegun};
      });
    this.quarantine.recordEnd(service, {
      endpoint: getIncarnationKey(endpoint),
      endedAt: writtenAt - ageMilliseconds,
      attempts: [...readRows(attempts, false), ...readRows(begun, true)],
    });
  }

  /** Sends when answers on some parts reached a stage. */
  sendAnswered(
    service: string,
    answeredAt: ReadonlyMap<string, Instant>,
    stage = AnswerStage.Lasting,
  ): void {
    const {getNow, getWallClock} = this.clocks;
    const now = getNow();
    const parts: AnsweredPartRow[] = [];
    for (const [part, at] of answeredAt) {
      parts.push([part, Math.ceil(now - at)]);
    }
    const isLasting = stage === AnswerStage.Lasting;
    const sentAt = getWallClock();
    this.sendAll(makeAnsweredMessage({service, sentAt, parts, isLasting}));
  }

  /** Records when answers on some parts reached a stage at a peer. */
  acceptAnswered(
    {service, parts, isLasting = false}: AnsweredParts,
    writtenAt: Instant,
  ): void {
    const stage = isLasting ? AnswerStage.Lasting : AnswerStage.Begun;
    for (const [part, age] of parts) {
      this.quarantine.acceptAnswer(service, part, writtenAt - age, stage);
    }
  }

  /** Applies the quarantines of a peer. */
  acceptQuarantines(rows: readonly unknown[], vm: string): void {
    for (const row of rows) {
      const quarantine = parseQuarantine(row);
      if (quarantine === undefined) continue;
      this.quarantine.acceptQuarantine(quarantine, `peer ${vm}`);
    }
  }
}
