import {Result} from 'true-myth';
import {RelayOutcome} from '../peers/messages.js';
import type {CancelConnection, EndpointConnection} from './open_connection.js';
import {openRelayed, RelayError, type RelayTarget} from './relay_client.js';
import type {RelayChoice} from './relay_choice.js';

/** Peers that are asked for one connection. */
const maxAsked = 4;
/** Another peer is asked after this time without an answer of those before. */
const askMilliseconds = 50;

/** Why no peer made a connection. */
export class NoRelayError extends Error {
  /** As of a connection of this VM that is refused, or not established in time. */
  readonly code: string;

  constructor(private readonly outcomes: readonly RelayOutcome[]) {
    super(`no peer made a connection: ${outcomes.join(' ') || 'none asked'}`);
    const isRefused = outcomes.includes(RelayOutcome.Refused);
    this.code = isRefused ? 'ECONNREFUSED' : 'ETIMEDOUT';
  }

  /** Whether a peer tried, and failed as well. */
  get hasAnswer(): boolean {
    return this.outcomes.some(
      one => one === RelayOutcome.Refused || one === RelayOutcome.Silent,
    );
  }

  /**
   * Makes what the failure of this VM's own connection means: a refused one is
   * the end of the endpoint only if a peer says so too, or there is no peer. Else it
   * says no more than one that was not established in time.
   */
  translate(failure: Error): Error {
    const {code} = failure as NodeJS.ErrnoException;
    const {outcomes} = this;
    if (code !== 'ECONNREFUSED' || outcomes.length === 0) return failure;
    if (outcomes.includes(RelayOutcome.Refused)) return failure;
    const error = new Error(`${failure.message}, which no peer confirms`);
    return Object.assign(error, {code: 'ETIMEDOUT'});
  }
}

/**
 * Asks peers for a connection to an endpoint, one after another; the first that
 * has one is used.
 */
export function askRelays(
  choice: RelayChoice,
  target: RelayTarget,
  handle: (result: Result<EndpointConnection, NoRelayError>) => void,
): CancelConnection {
  const relays = choice.list(maxAsked);
  const asked: CancelConnection[] = [];
  const outcomes: RelayOutcome[] = [];
  let timer: NodeJS.Timeout | undefined;
  let next = 0;
  let isDone = false;
  const stop = () => {
    isDone = true;
    clearTimeout(timer);
    for (const cancel of asked) cancel();
  };
  const askNext = () => {
    clearTimeout(timer);
    const relay = relays[next];
    next += 1;
    if (relay === undefined) return;
    timer = setTimeout(askNext, askMilliseconds);
    asked.push(
      openRelayed(relay, target, result => {
        choice.record(relay.vm, result.isOk);
        if (result.isOk) {
          stop();
          return handle(Result.ok(result.value));
        }
        const {error} = result;
        const isKnown = error instanceof RelayError;
        outcomes.push(isKnown ? error.outcome : RelayOutcome.NoRelay);
        if (outcomes.length < relays.length) return askNext();
        stop();
        handle(Result.err(new NoRelayError(outcomes)));
      }),
    );
  };
  if (relays.length === 0) {
    // As for any other failure, its handler must not be called before it is known.
    const immediate = setImmediate(() => {
      handle(Result.err(new NoRelayError([])));
    });
    return () => clearImmediate(immediate);
  }
  askNext();
  return () => {
    if (!isDone) stop();
  };
}
