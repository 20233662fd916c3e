import {describeError, ProcessEvent} from '@zinniaspindle/shared';
import type {LogEvent} from '@zinniaspindle/shared';
import {Cause, Effect, Schedule} from 'effect';
import type {Scope} from 'effect';

const firstDelay = '100 millis';
const longestDelay = '5 seconds';

/** Hears how a child of the supervisor tree fares. */
export interface ChildListener {
  readonly report: (logEvents: readonly LogEvent[]) => void;
  /** Tells whether the child is up; a VM with a child down is not ready. */
  readonly setUp: (name: string, isUp: boolean) => void;
}

/** A child of the supervisor tree: runs in its own scope until interrupted. */
export interface Child<Failure> {
  readonly name: string;
  /** Acquires what the child needs; it is up once this succeeds. */
  readonly start: Effect.Effect<void, Failure, Scope.Scope>;
  /** Runs while the child is up; a failure restarts the child. */
  readonly run: Effect.Effect<void, Failure, Scope.Scope>;
}

/**
 * Runs a child in the scope of its parent. A child that fails is started
 * again, after delays that grow to five seconds; meanwhile it counts as down.
 */
export function runChild<Failure>(
  child: Child<Failure>,
  listener: ChildListener,
): Effect.Effect<void, never, Scope.Scope> {
  const {name} = child;
  const life = Effect.gen(function* () {
    yield* child.start;
    listener.setUp(name, true);
    yield* child.run;
    yield* Effect.never;
  });
  const delays = Schedule.min([
    Schedule.exponential(firstDelay),
    Schedule.spaced(longestDelay),
  ]);
  const guarded = Effect.scoped(life).pipe(
    Effect.tapCause(cause =>
      Effect.sync(() => {
        listener.setUp(name, false);
        const detail = describeError(Cause.squash(cause));
        const event = ProcessEvent.ChildFailed;
        listener.report([{event, fields: {child: name, detail}}]);
      }),
    ),
    Effect.retry(delays),
    Effect.ignore,
  );
  return Effect.forkScoped(guarded).pipe(Effect.asVoid);
}
