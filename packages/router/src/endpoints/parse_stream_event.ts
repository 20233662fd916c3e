import {describeError, StreamEventKind} from '@zinniaspindle/shared';
import type {StreamEvent} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {EndpointError, EndpointErrorCode} from './errors.js';

const maxShownLength = 120;

/** Parses one line of an engine's token stream and checks its fields. */
export function parseStreamEvent(
  line: string,
): Result<StreamEvent, EndpointError> {
  let event: StreamEvent;
  try {
    event = JSON.parse(line) as StreamEvent;
  } catch (error) {
    return Result.err(makeMalformedError(line, describeError(error)));
  }
  const fault = findFault(event);
  if (fault !== undefined) return Result.err(makeMalformedError(line, fault));
  return Result.ok(event);
}

function findFault(event: StreamEvent): string | undefined {
  if (typeof event !== 'object' || event === null) return 'not an object';
  if (typeof event.request !== 'string') return 'field request is no string';
  if (!Number.isInteger(event.attempt)) return 'field attempt is no integer';
  switch (event.kind) {
    case StreamEventKind.Token:
      if (!Number.isInteger(event.index)) return 'field index is no integer';
      if (typeof event.text !== 'string') return 'field text is no string';
      if (!Array.isArray(event.receipts)) return 'field receipts is no array';
      return undefined;
    case StreamEventKind.End:
      if (!Number.isInteger(event.tokens)) return 'field tokens is no integer';
      return undefined;
    case StreamEventKind.Failed:
      return undefined;
    default:
      return 'field kind is unknown';
  }
}

function makeMalformedError(line: string, detail: string): EndpointError {
  return new EndpointError(
    EndpointErrorCode.Malformed,
    `malformed stream event "${line.slice(0, maxShownLength)}": ${detail}`,
  );
}
