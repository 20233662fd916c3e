import {
  decideEraNews,
  EraNews,
  isLaterEra,
  type StoreEra,
} from '@zinniaspindle/decisions';
import {GatewayEvent} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';

/** The latest era of the store that this VM knows of. */
export class EraWatch {
  private era: StoreEra;
  /** Whether the last answer of the store had no era that can be used. */
  private isUnknown = false;

  constructor(private readonly writeEvent: WriteEvent) {}

  /** The latest era; undefined before any is known. */
  get known(): StoreEra {
    return this.era;
  }

  /** Tells whether the store came back from an older copy after an era. */
  isPast(era: StoreEra): boolean {
    return isLaterEra(this.era, era);
  }

  /** Accepts the era of an answer of the store. */
  acceptAnswer(seen: StoreEra): void {
    const news = decideEraNews(this.era, seen);
    const wasUnknown = this.isUnknown;
    this.isUnknown = news === EraNews.Unknown;
    this.apply(news, seen, 'the store');
    if (!this.isUnknown || wasUnknown) return;
    this.writeEvent(GatewayEvent.StoreEraUnknown, {
      seen: seen ?? 'none',
      known: this.era!,
    });
  }

  /** Accepts the era that a peer knows. */
  acceptFromPeer(seen: StoreEra, vm: string): void {
    this.apply(decideEraNews(this.era, seen), seen, vm);
  }

  private apply(news: EraNews, seen: StoreEra, source: string): void {
    if (news !== EraNews.First && news !== EraNews.Risen) return;
    const before = this.era;
    this.era = seen;
    if (before === undefined) return;
    this.writeEvent(GatewayEvent.StoreEraRisen, {era: seen!, before, source});
  }
}
