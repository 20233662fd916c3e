import {
  IntakeSource,
  type IntakeExcess,
  type IntakeKind,
} from '@zinniaspindle/decisions';
import {PendingBytes} from '@zinniaspindle/framing';
import type {HeldBytes, Intake} from '../intake/intake.js';

/** The body of an endpoint's answer, kept within the bounds of its kind. */
export class BoundedBody {
  private readonly pending = new PendingBytes();
  private readonly held: HeldBytes;

  constructor(intake: Intake) {
    this.held = intake.open(IntakeSource.Endpoints);
  }

  /** The number of bytes. */
  get length(): number {
    return this.pending.length;
  }

  /** Adds a chunk; where that exceeds a bound, gives the bound and adds nothing. */
  add(kind: IntakeKind, chunk: Buffer): IntakeExcess | undefined {
    const excess = this.held.set(kind, this.pending.length + chunk.length);
    if (excess === undefined) this.pending.append(chunk);
    return excess;
  }

  /** Returns the bytes so far. */
  toBuffer(): Buffer {
    return this.pending.toBuffer();
  }

  /** Drops all bytes and gives back what they held. */
  drop(): void {
    this.pending.drop();
    this.held.release();
  }
}
