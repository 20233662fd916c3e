import type {Writable} from 'node:stream';

/** Sent to detect a reset; HTTP servers ignore an empty line between requests. */
const emptyLine = '\r\n';

/**
 * Tells whether the end of an endpoint's connection was a regular one. A reset may be
 * reported as a regular end; only the next write to the connection fails.
 */
export function checkEnd(
  connection: Writable,
  handle: (error: Error | undefined) => void,
): void {
  connection.write(emptyLine, error => handle(error ?? undefined));
}
