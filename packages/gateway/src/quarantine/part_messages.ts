import {parseQuarantine} from '@zinniaspindle/decisions';
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
    const message = makeEndedMessage(endpoint, {
      service,
      sentAt: this.clocks.getWallClock(),
      ageMilliseconds: Math.ceil(now - endedAt),
      attempts: attempts.map(({request, traits, sentAt}) => [
        request,
        traits,
        Math.ceil(now - sentAt),
      ]),
    });
    this.sendAll(message);
  }

  /** Records what a peer sent of an endpoint that has ended. */
  acceptEnded(
    endpoint: Incarnation,
    {service, ageMilliseconds, attempts}: EndedRequests,
    writtenAt: Instant,
  ): void {
    this.ends.recordEnd(endpoint, service, EndReason.Peer);
    this.quarantine.recordEnd(service, {
      endpoint: getIncarnationKey(endpoint),
      endedAt: writtenAt - ageMilliseconds,
      attempts: attempts.map(([request, traits, age]) => ({
        request,
        traits,
        sentAt: writtenAt - age,
      })),
    });
  }

  /** Sends when answers on some parts were begun. */
  sendAnswered(
    service: string,
    answeredAt: ReadonlyMap<string, Instant>,
  ): void {
    const {getNow, getWallClock} = this.clocks;
    const now = getNow();
    const parts: AnsweredPartRow[] = [];
    for (const [part, at] of answeredAt) {
      parts.push([part, Math.ceil(now - at)]);
    }
    this.sendAll(makeAnsweredMessage({service, sentAt: getWallClock(), parts}));
  }

  /** Records when answers on some parts were begun at a peer. */
  acceptAnswered({service, parts}: AnsweredParts, writtenAt: Instant): void {
    for (const [part, age] of parts) {
      this.quarantine.acceptAnswer(service, part, writtenAt - age);
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
