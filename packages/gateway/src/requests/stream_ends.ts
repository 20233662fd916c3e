import {
  verifyStreamEnd,
  type StagePath,
  type EndVerdict,
} from '@zinniaspindle/decisions';
import type {StreamBody} from './stream_body.js';

/** An attempt whose answer has ended. */
export interface EndedAttempt {
  readonly path: StagePath;
  /** Whether it brought an event. */
  readonly hasStarted: boolean;
  readonly body: StreamBody;
  /** Whether it was to go on after an event that the caller has. */
  readonly isResumed: boolean;
}

/** Collects what the attempts at one stream show about its end. */
export class StreamEnds {
  /** Endpoints whose framed answer brought no event after the caller's last. */
  private readonly emptyAt = new Set<string>();
  /** Whether an attempt has begun an event after the caller's last. */
  private hasNextEvent = false;
  /** The path of the last answer that brought no event; another may know of one. */
  emptyPath: StagePath | undefined;

  /** Records that the caller gets further events, after which all is open again. */
  recordEvents(): void {
    this.emptyAt.clear();
    this.hasNextEvent = false;
    this.emptyPath = undefined;
  }

  /** Records what an attempt has left when it ends. */
  recordRest(body: StreamBody): void {
    if (body.hasPartialEvent()) this.hasNextEvent = true;
  }

  /** Verifies the end of an attempt's answer. */
  verify(
    {path, hasStarted: hasEvents, body, isResumed}: EndedAttempt,
    isFramed: boolean,
  ): EndVerdict {
    const hasPartialEvent = body.hasPartialEvent();
    if (isFramed && !hasEvents && !hasPartialEvent) {
      this.emptyAt.add(path.parts[0]!.endpoint.id);
      this.emptyPath = path;
    }
    const {hasNextEvent, emptyAt} = this;
    return verifyStreamEnd({
      ...{isFramed, hasEvents, hasPartialEvent, isResumed, hasNextEvent},
      emptyEnds: emptyAt.size,
    });
  }
}
