import {IntakeKind, type IntakeExcess} from '@zinniaspindle/decisions';
import type {Intake} from '../intake/intake.js';
import {BoundedBody} from './bounded_body.js';
import {EventSplitter, type CompleteEvents} from './event_splitter.js';

export type {CompleteEvents};

/** The body of one attempt at a stream: its events, or that of a failure. */
export class StreamBody {
  private readonly splitter: EventSplitter;
  private readonly failure: BoundedBody;
  /** The bound that the body reached, if any. */
  excess: IntakeExcess | undefined;

  constructor(intake: Intake) {
    this.splitter = new EventSplitter(intake);
    this.failure = new BoundedBody(intake);
  }

  /** Adds a chunk; returns the events that are now complete, if any. */
  accept(chunk: Buffer, isStream: boolean): CompleteEvents | undefined {
    if (!isStream) {
      this.excess = this.failure.add(IntakeKind.ErrorBody, chunk);
      return undefined;
    }
    const events = this.splitter.accept(chunk);
    this.excess = this.splitter.excess;
    return events;
  }

  /** Tells whether part of an event is buffered. */
  hasPartialEvent(): boolean {
    return this.splitter.hasPartialEvent();
  }

  /** Returns the body of a failure. */
  toFailureBody(): Buffer {
    return this.failure.toBuffer();
  }

  /** Drops all that is buffered. */
  drop(): void {
    this.splitter.drop();
    this.failure.drop();
  }
}
