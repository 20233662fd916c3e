import type http from 'node:http';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import type {EntriesResponse} from '@zinniaspindle/decisions';
import type {Problem} from '@zinniaspindle/shared';
import {fetchJson, openCall, readText} from './entry_client.js';
import type {EntryTarget} from './entry_client.js';
import {CliError, CliErrorCode} from './errors.js';
import {readEvents} from './event_stream.js';

/** A request as a caller writes it. */
export interface CallerRequest {
  readonly pipeline: string;
  readonly prompt: string;
  readonly maxTokens?: number;
  readonly id?: string;
  /** RFC 3339 time. */
  readonly deadline?: string;
}

/** How a request ended. */
export enum RequestOutcomeKind {
  Completed = 'completed',
  Problem = 'problem',
}

/** The end of a request, with the text that came. */
export type RequestOutcome =
  | {
      readonly kind: RequestOutcomeKind.Completed;
      readonly text: string;
      readonly end: Readonly<Record<string, unknown>>;
    }
  | {
      readonly kind: RequestOutcomeKind.Problem;
      readonly text: string;
      readonly problem: Problem;
    };

const statusOk = 200;
const statusNotFound = 404;
const eventStream = 'text/event-stream';

/** Rounds over the known entry VMs in search of one that goes on. */
const resumeRounds = 3;

/** Milliseconds between two rounds. */
const roundMilliseconds = 500;

/**
 * Sends a request and hands on its tokens as they come. When the connection
 * breaks, as at the stop of the entry VM, another one goes on with the answer.
 */
export async function sendRequest(
  target: EntryTarget,
  request: CallerRequest,
  handleToken: (text: string) => void,
): Promise<RequestOutcome> {
  const known = fetchEntries(target);
  const response = await openRequest(target, request);
  const id = String(response.headers['x-request-id']);
  const reader = new AnswerReader(handleToken);
  const first = await reader.read(response);
  if (first !== undefined) return first;
  const entries = await known;
  for (let round = 0; round < resumeRounds; round += 1) {
    for (const entry of entries) {
      const resumed = await openResume({...target, entry}, id, reader.lastId);
      const outcome = resumed && (await reader.read(resumed));
      if (outcome !== undefined) return outcome;
    }
    await waitMilliseconds(roundMilliseconds);
  }
  throw new CliError(
    CliErrorCode.Unknown,
    `the stream broke off after ${reader.text.length} characters`,
    `GET /v1/requests/${id} at an entry VM may go on with it`,
  );
}

/** Reads the answer to one request, over any number of connections. */
class AnswerReader {
  text = '';
  /** Id of the last event; empty before the first one. */
  lastId = '';

  constructor(private readonly handleToken: (text: string) => void) {}

  /** Reads one connection; undefined when it breaks off before the end. */
  async read(
    response: http.IncomingMessage,
  ): Promise<RequestOutcome | undefined> {
    try {
      if (response.statusCode === statusOk) return await this.readEnd(response);
      const problem = JSON.parse(await readText(response)) as Problem;
      return {kind: RequestOutcomeKind.Problem, text: this.text, problem};
    } catch (error) {
      if (response.errored === null) throw error;
      return undefined;
    }
  }

  private async readEnd(
    response: http.IncomingMessage,
  ): Promise<RequestOutcome | undefined> {
    for await (const {id, event, data} of readEvents(response)) {
      const value = JSON.parse(data) as Record<string, unknown>;
      if (event === 'completed') {
        const kind = RequestOutcomeKind.Completed;
        return {kind, text: this.text, end: value};
      }
      if (event === 'problem') {
        const problem = value as unknown as Problem;
        return {kind: RequestOutcomeKind.Problem, text: this.text, problem};
      }
      this.lastId = id;
      const token = String(value['text']);
      this.text += token;
      this.handleToken(token);
    }
    return undefined;
  }
}

function openRequest(
  target: EntryTarget,
  request: CallerRequest,
): Promise<http.IncomingMessage> {
  const headers: Record<string, string> = {accept: eventStream};
  if (request.id !== undefined) headers['x-request-id'] = request.id;
  if (request.deadline !== undefined) headers['x-deadline'] = request.deadline;
  const {prompt, maxTokens} = request;
  return openCall(target, {
    method: 'POST',
    path: `/v1/pipelines/${encodeURIComponent(request.pipeline)}/requests`,
    headers,
    body: maxTokens === undefined ? {prompt} : {prompt, maxTokens},
  });
}

/** Opens the rest of an answer; undefined if the entry VM cannot give it. */
async function openResume(
  target: EntryTarget,
  id: string,
  lastId: string,
): Promise<http.IncomingMessage | undefined> {
  const headers: Record<string, string> = {accept: eventStream};
  if (lastId !== '') headers['last-event-id'] = lastId;
  const path = `/v1/requests/${encodeURIComponent(id)}`;
  try {
    const response = await openCall(target, {method: 'GET', path, headers});
    if (response.statusCode !== statusNotFound) return response;
    response.resume();
    return undefined;
  } catch {
    return undefined;
  }
}

/** Lists the addresses of the entry VMs; the target's own when none is told. */
async function fetchEntries(target: EntryTarget): Promise<string[]> {
  try {
    const call = {method: 'GET', path: '/v1/entries'} as const;
    const {entries} = (await fetchJson(target, call)) as EntriesResponse;
    return entries.map(({address}) => address);
  } catch {
    return [target.entry];
  }
}
