import {
  decideIntake,
  kindLimits,
  type IntakeExcess,
  type IntakeKind,
  type IntakeLimits,
  type IntakeSource,
} from '@zinniaspindle/decisions';
import type {EndpointState} from '../fleet/endpoint_state.js';

/** Counts the most items of a source that may be under way at once. */
export type CountPlaces = (source: IntakeSource) => number;

/** All bytes from outside that this VM holds. */
export class Intake {
  private readonly held = new Map<IntakeSource, number>();

  constructor(
    private readonly limits: IntakeLimits,
    private readonly countPlaces: CountPlaces,
  ) {}

  /** Opens an item of a source, which holds nothing yet. */
  open(source: IntakeSource): HeldBytes {
    return new HeldBytes(source, this);
  }

  /** Counts the bytes that this VM holds of a source. */
  countBytes(source: IntakeSource): number {
    return this.held.get(source) ?? 0;
  }

  /** Lets an item grow or shrink, unless that would exceed a bound. */
  update(
    kind: IntakeKind,
    before: number,
    itemBytes: number,
  ): IntakeExcess | undefined {
    const {source} = kindLimits[kind];
    const otherBytes = this.countBytes(source) - before;
    const countPlaces = () => this.countPlaces(source);
    const request = {kind, itemBytes, otherBytes, countPlaces};
    const excess =
      itemBytes <= before ? undefined : decideIntake(this.limits, request);
    if (excess === undefined) this.held.set(source, otherBytes + itemBytes);
    return excess;
  }

  /** Gives back the bytes of an item. */
  release(source: IntakeSource, bytes: number): void {
    this.held.set(source, this.countBytes(source) - bytes);
  }
}

/** Counts the requests that endpoints together run at once. */
export function countPlaces(endpoints: readonly EndpointState[]): number {
  let places = 0;
  for (const {entry} of endpoints) places += entry.slots;
  return places;
}

/** The bytes that one item holds. */
export class HeldBytes {
  private bytes = 0;

  constructor(
    private readonly source: IntakeSource,
    private readonly intake: Intake,
  ) {}

  /**
   * Sets how many bytes the item holds; where that exceeds a bound, gives the
   * bound and changes nothing. The kind must be one of the item's source.
   */
  set(kind: IntakeKind, bytes: number): IntakeExcess | undefined {
    const excess = this.intake.update(kind, this.bytes, bytes);
    if (excess === undefined) this.bytes = bytes;
    return excess;
  }

  /** Gives back all bytes. */
  release(): void {
    if (this.bytes === 0) return;
    this.intake.release(this.source, this.bytes);
    this.bytes = 0;
  }
}
