import http from 'node:http';
import {describeError, FinalAnswer} from '@zinniaspindle/shared';
import type {Problem} from '@zinniaspindle/shared';
import {CliError, CliErrorCode} from './errors.js';

/** Which entry VM to call, and as whom. */
export interface EntryTarget {
  /** host:port of an entry VM. */
  readonly entry: string;
  /** Bearer token; undefined for calls that need none. */
  readonly token?: string;
}

/** One call of an entry VM. */
export interface EntryCall {
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

const firstErrorStatus = 400;

/** Opens a call; rejects with CliError when no entry VM answers. */
export function openCall(
  target: EntryTarget,
  call: EntryCall,
): Promise<http.IncomingMessage> {
  const text = call.body === undefined ? undefined : JSON.stringify(call.body);
  const headers: Record<string, string> = {...call.headers};
  if (target.token !== undefined) {
    headers['authorization'] = `Bearer ${target.token}`;
  }
  if (text !== undefined) headers['content-type'] = 'application/json';
  return new Promise((resolve, reject) => {
    const url = `http://${target.entry}${call.path}`;
    const request = http.request(url, {method: call.method, headers});
    request.on('response', resolve);
    request.on('error', error =>
      reject(
        new CliError(
          CliErrorCode.Unreachable,
          `entry VM ${target.entry}: ${describeError(error)}`,
          'check the address, or ask another entry VM',
        ),
      ),
    );
    request.end(text);
  });
}

/** Reads the whole text of an answer. */
export async function readText(
  response: http.IncomingMessage,
): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of response) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Runs a call and reads its JSON answer; rejects with CliError on refusal. */
export async function fetchJson(
  target: EntryTarget,
  call: EntryCall,
): Promise<unknown> {
  const response = await openCall(target, call);
  const text = await readText(response);
  const body: unknown = text === '' ? undefined : JSON.parse(text);
  if ((response.statusCode ?? 0) >= firstErrorStatus) {
    throw makeRefusedError(body as Problem);
  }
  return body;
}

/** Makes the error for a problem that an entry VM answered with. */
export function makeRefusedError(problem: Problem): CliError {
  return new CliError(
    problem.answer === FinalAnswer.OutcomeUnknown
      ? CliErrorCode.Unknown
      : CliErrorCode.Refused,
    `${problem.answer}: ${problem.detail}`,
    describeAdvice(problem),
  );
}

function describeAdvice(problem: Problem): string {
  switch (problem.answer) {
    case FinalAnswer.NotRun:
      return problem.retryAt === undefined
        ? 'send it again'
        : `send it again after ${new Date(problem.retryAt).toISOString()}`;
    case FinalAnswer.OutcomeUnknown:
      return 'it may have run; look before you send it again';
    case FinalAnswer.Partial:
      return 'the text so far is correct; send a new request for the rest';
    case FinalAnswer.Rejected:
      return 'correct the input and send it again';
    case FinalAnswer.Cancelled:
    case FinalAnswer.Completed:
      return 'nothing';
  }
}
