import type {Incarnation} from '../fleet/notice_table.js';
import type {ServerContext} from './request_context.js';
import type {StreamAttempt} from './stream_attempt.js';

/**
 * Runs of one request that are not counted, since their endpoints ended. The
 * bound limits what a request costs that ends endpoints after its first event.
 */
const maxEndedRuns = 2;

/**
 * Runs of one stream that broke after events. A run whose endpoint has ended
 * since uses up none of the route's attempts.
 */
export class EndedRuns {
  private broken: Incarnation[] = [];
  private taken = 0;

  constructor(
    private readonly server: Pick<
      ServerContext,
      'endpoints' | 'ends' | 'endCheck'
    >,
  ) {}

  /**
   * Records an attempt that broke. One without an event is left out, since the
   * request may have ended its endpoint.
   */
  recordBreak({reservation, watch}: StreamAttempt): void {
    const endpoint = watch.findTarget();
    if (!reservation.hasStarted || endpoint === undefined) return;
    this.broken.push(endpoint);
  }

  /** Takes the runs whose endpoints have ended, each once, and counts them. */
  async takeEnded(): Promise<number> {
    const {broken} = this;
    this.broken = [];
    let ended = 0;
    for (const endpoint of broken) {
      if (this.taken + ended >= maxEndedRuns) break;
      if (await this.hasEnded(endpoint)) ended += 1;
      else this.broken.push(endpoint);
    }
    this.taken += ended;
    return ended;
  }

  private async hasEnded(endpoint: Incarnation): Promise<boolean> {
    if (this.isKnownEnd(endpoint)) return true;
    await this.server.endCheck.check(endpoint.id);
    return this.isKnownEnd(endpoint);
  }

  private isKnownEnd(endpoint: Incarnation): boolean {
    const {endpoints, ends} = this.server;
    const state = endpoints.find(endpoint.id);
    const isListed = state?.bornAt === endpoint.bornAt;
    return !isListed || ends.hasEnded(endpoint);
  }
}
