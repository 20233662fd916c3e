import {
  EngineRefusal,
  type Deadline,
  type EndpointId,
  type Instant,
  isPast,
  type LayerRange,
  type RequestId,
} from '@zinniaspindle/shared';
import {makeRefusal} from './engine_refused.js';
import type {ReleasePlace} from './priority_semaphore.js';

const maxRequestsKept = 100_000;

/** One attempt of a request that an engine has work for. */
export interface Session {
  readonly request: RequestId;
  readonly attempt: number;
  readonly deadline: Deadline;
  readonly abort: AbortController;
  /** Layers that the engine held when the attempt began. */
  readonly held: LayerRange;
  readonly layerCount: number;
  /** Tokens of the whole generation; unknown to a stage that was not told. */
  readonly tokenCount: number | undefined;
  /** Stands for prompt and sampling; the empty string when not told. */
  readonly seed: string;
  /** Resolves once the prompt is prefilled. */
  ready: Promise<void>;
  release: ReleasePlace;
  idleUntil: Deadline;
}

/** The attempts at one engine; refuses older ones where it checks them. */
export class Sessions {
  private readonly open = new Map<string, Session>();
  /** Lowest attempt of a request that may still run. */
  private readonly lowest = new Map<RequestId, number>();

  constructor(
    private readonly endpoint: EndpointId,
    private readonly checksAttempts: boolean,
  ) {}

  /** Notes an attempt; throws when a later one is known. */
  checkAttempt(request: RequestId, attempt: number): void {
    const lowest = this.lowest.get(request) ?? 0;
    if (!this.checksAttempts) return;
    if (attempt > lowest) this.cancelBelow(request, attempt);
    if (attempt >= lowest) return;
    throw makeRefusal(
      this.endpoint,
      EngineRefusal.OldAttempt,
      `attempt ${attempt} of request ${request} is below ${lowest}`,
    );
  }

  get(request: RequestId, attempt: number): Session | undefined {
    return this.open.get(formatKey(request, attempt));
  }

  add(session: Session): void {
    this.open.set(formatKey(session.request, session.attempt), session);
  }

  /** Closes a session and gives its slot back. */
  close(session: Session): void {
    const key = formatKey(session.request, session.attempt);
    if (this.open.get(key) === session) this.open.delete(key);
    session.release();
  }

  /** Ends every attempt of a request below one, now and later. */
  cancelBelow(request: RequestId, attempt: number): void {
    if (attempt > (this.lowest.get(request) ?? 0)) {
      this.lowest.delete(request);
      this.lowest.set(request, attempt);
      this.dropOldest();
    }
    for (const session of this.open.values()) {
      if (session.request !== request || session.attempt >= attempt) continue;
      this.cancel(session, EngineRefusal.Cancelled);
    }
  }

  /** Ends sessions that nobody uses or waits for any more. */
  expire(now: Instant): void {
    for (const session of this.open.values()) {
      if (isPast(session.deadline, now)) {
        this.cancel(session, EngineRefusal.DeadlinePassed);
      } else if (isPast(session.idleUntil, now)) {
        this.cancel(session, EngineRefusal.Cancelled);
      }
    }
  }

  private cancel(session: Session, reason: EngineRefusal): void {
    const name = `attempt ${session.attempt} of request ${session.request}`;
    session.abort.abort(
      makeRefusal(this.endpoint, reason, `${name} was ended: ${reason}`),
    );
    this.close(session);
  }

  private dropOldest(): void {
    if (this.lowest.size <= maxRequestsKept) return;
    for (const request of this.lowest.keys()) {
      this.lowest.delete(request);
      return;
    }
  }
}

function formatKey(request: RequestId, attempt: number): string {
  return `${request} ${attempt}`;
}
