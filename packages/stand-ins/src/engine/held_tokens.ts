import type {RequestId, TokenEvent} from '@zinniaspindle/shared';

const maxRequestsKept = 10_000;

/** Keeps the tokens of streams that an engine led, for a later attempt. */
export class HeldTokens {
  private readonly requests = new Map<RequestId, TokenEvent[]>();

  /** Tells whether any attempt of a request was led here. */
  has(request: RequestId): boolean {
    return this.requests.has(request);
  }

  /** Lists the tokens of a request, by index from the first one held. */
  list(request: RequestId): readonly TokenEvent[] {
    return this.requests.get(request) ?? [];
  }

  /** Begins a stream; without `goesOn` what was held before is dropped. */
  start(request: RequestId, goesOn: boolean): void {
    const tokens = goesOn ? [...this.list(request)] : [];
    this.requests.delete(request);
    this.requests.set(request, tokens);
    for (const oldest of this.requests.keys()) {
      if (this.requests.size <= maxRequestsKept) return;
      this.requests.delete(oldest);
    }
  }

  /** Keeps one more token. */
  add(token: TokenEvent): void {
    this.requests.get(token.request)?.push(token);
  }
}
