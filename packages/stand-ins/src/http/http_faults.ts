import {makeBadRequest} from '../errors.js';

/** Faults that any stand-in can show on every path but /control. */
export interface HttpFaults {
  /** Answers 503 without effect. */
  down: boolean;
  /** Accepts requests without effect and never answers. */
  hangs: boolean;
  /** Closes the connection without effect. */
  losesRequests: boolean;
  /** Requests take effect, but the connection is closed unanswered. */
  losesAnswers: boolean;
  /** Milliseconds before each request takes effect. */
  delayMilliseconds: number;
}

/** Makes the state in which nothing is wrong. */
export function makeHttpFaults(): HttpFaults {
  return {
    down: false,
    hangs: false,
    losesRequests: false,
    losesAnswers: false,
    delayMilliseconds: 0,
  };
}

/**
 * Sets the named switches of a fault state from a control message. Throws a
 * bad request for an unknown name or a value of another type; then nothing
 * is changed.
 */
export function applySwitches<T extends object>(
  switches: T,
  message: Readonly<Record<string, unknown>>,
): void {
  const current = new Map<string, unknown>(Object.entries(switches));
  for (const [name, value] of Object.entries(message)) {
    if (!current.has(name)) {
      const known = [...current.keys()].join(', ');
      throw makeBadRequest(
        `unknown switch "${name}", expected one of ${known}`,
      );
    }
    const wanted = typeof current.get(name);
    if (typeof value !== wanted) {
      throw makeBadRequest(
        `switch "${name}" needs a ${wanted}, got ${JSON.stringify(value)}`,
      );
    }
  }
  Object.assign(switches, message);
}
