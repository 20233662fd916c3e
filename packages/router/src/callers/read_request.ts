import type http from 'node:http';
import type {CallerPrefix, RequestSpec} from '@zinniaspindle/decisions';
import {toId} from '@zinniaspindle/shared';
import type {
  AccountObject,
  Deadline,
  GenerationParameters,
  Instant,
  PipelineObject,
  RequestId,
} from '@zinniaspindle/shared';
import {v7 as makeUuidV7} from 'uuid';
import {makeFieldError} from './errors.js';
import {AnswerFormat} from './token_writer.js';

/** Bounds on a caller's deadline. */
export interface DeadlineLimits {
  readonly defaultMilliseconds: number;
  readonly maxMilliseconds: number;
}

const requestIdPattern = /^[A-Za-z0-9._-]{1,64}$/;
const maxPriority = 9;
const bodyFields = ['maxTokens', 'prompt', 'sampling'];

/** Reads one header as text. */
export function readHeader(
  request: http.IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Reads the request id header, or makes an id. */
export function readRequestId(request: http.IncomingMessage): RequestId {
  const text = readHeader(request, 'x-request-id');
  if (text === undefined) return toId(makeUuidV7());
  if (requestIdPattern.test(text)) return toId(text);
  throw makeFieldError('x-request-id', text, '1 to 64 of A-Z a-z 0-9 . _ -');
}

/** Reads the deadline header: an RFC 3339 time or Unix milliseconds. */
export function readDeadline(
  request: http.IncomingMessage,
  limits: DeadlineLimits,
  now: Instant,
): Deadline {
  const text = readHeader(request, 'x-deadline');
  if (text === undefined) return now + limits.defaultMilliseconds;
  const deadline = /^\d+$/.test(text) ? Number(text) : Date.parse(text);
  if (!Number.isFinite(deadline)) {
    const expected = 'an RFC 3339 time or Unix milliseconds';
    throw makeFieldError('x-deadline', text, expected);
  }
  if (deadline <= now) {
    throw makeFieldError('x-deadline', text, 'a time in the future');
  }
  if (deadline > now + limits.maxMilliseconds) {
    const expected = `at most ${limits.maxMilliseconds} ms ahead`;
    throw makeFieldError('x-deadline', text, expected);
  }
  return deadline;
}

/** Reads the priority header, 0 (lowest) to 9. */
export function readPriority(request: http.IncomingMessage): number {
  const text = readHeader(request, 'x-priority');
  if (text === undefined) return 0;
  const priority = Number(text);
  if (Number.isInteger(priority) && priority >= 0 && priority <= maxPriority) {
    return priority;
  }
  throw makeFieldError(
    'x-priority',
    text,
    `an integer from 0 to ${maxPriority}`,
  );
}

const eventIdPattern = /^(\d{1,9})-([0-9a-f]{16})$/;

/** Reads which tokens the caller has; undefined when it has none. */
export function readLastEventId(
  request: http.IncomingMessage,
): CallerPrefix | undefined {
  const text = readHeader(request, 'last-event-id');
  if (text === undefined || text === '') return undefined;
  const match = eventIdPattern.exec(text);
  if (match !== null) {
    return {tokens: Number(match[1]) + 1, hash: match[2]!};
  }
  throw makeFieldError('last-event-id', text, 'the id of an event');
}

/** Reads which answer format the caller accepts. */
export function readFormat(request: http.IncomingMessage): AnswerFormat {
  const accept = readHeader(request, 'accept') ?? '';
  return accept.includes('text/event-stream')
    ? AnswerFormat.ServerSentEvents
    : AnswerFormat.Json;
}

/** Reads what to generate from a request's body. */
export function readGeneration(
  body: unknown,
  pipeline: PipelineObject,
): GenerationParameters {
  const fields = readObject(body, 'body');
  for (const name of Object.keys(fields)) {
    if (bodyFields.includes(name)) continue;
    const expected = `one of ${bodyFields.join(', ')}`;
    throw makeFieldError(name, fields[name], expected);
  }
  const {prompt, maxTokens, sampling} = fields;
  if (typeof prompt !== 'string' || prompt === '') {
    throw makeFieldError('prompt', prompt, 'a text that is not empty');
  }
  const tokens = readMaxTokens(maxTokens, pipeline.maxTokens);
  const parameters = sampling === undefined ? {} : sampling;
  return {
    prompt,
    maxTokens: tokens,
    sampling: readObject(parameters, 'sampling'),
  };
}

function readMaxTokens(value: unknown, limit: number): number {
  if (value === undefined) return limit;
  const isInRange =
    typeof value === 'number' &&
    Number.isInteger(value) &&
    value >= 1 &&
    value <= limit;
  if (isInRange) return value;
  throw makeFieldError('maxTokens', value, `an integer from 1 to ${limit}`);
}

function readObject(
  value: unknown,
  field: string,
): Readonly<Record<string, unknown>> {
  const isObject =
    typeof value === 'object' && value !== null && !Array.isArray(value);
  if (isObject) return value as Readonly<Record<string, unknown>>;
  throw makeFieldError(field, value, 'a JSON object');
}

/** Reads everything that a request says. */
export function readRequestSpec(
  request: http.IncomingMessage,
  body: unknown,
  account: AccountObject,
  pipeline: PipelineObject,
  limits: DeadlineLimits,
  now: Instant,
): RequestSpec {
  return {
    id: readRequestId(request),
    account: account.name,
    pipeline: pipeline.name,
    model: pipeline.model,
    layerCount: pipeline.layerCount,
    generation: readGeneration(body, pipeline),
    priority: readPriority(request),
    deadline: readDeadline(request, limits, now),
  };
}
