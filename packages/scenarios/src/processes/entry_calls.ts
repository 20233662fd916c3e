import http from 'node:http';
import {createInterface} from 'node:readline';

/** One HTTP call of an entry VM. */
export interface EntryCall {
  /** host:port */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly token: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly signal?: AbortSignal;
}

/** One server-sent event. */
export interface ServerEvent {
  readonly id: string;
  readonly event: string;
  readonly data: string;
}

/** A JSON answer of an entry VM. */
export interface EntryReply {
  readonly status: number;
  readonly body: unknown;
}

const callMilliseconds = 30_000;

/** Opens a call and resolves with its response's head. */
export function openCall(call: EntryCall): Promise<http.IncomingMessage> {
  const [host, port] = call.address.split(':');
  const text = call.body === undefined ? '' : JSON.stringify(call.body);
  const headers = {
    authorization: `Bearer ${call.token}`,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...call.headers,
  };
  const {method, path, signal} = call;
  return new Promise((resolve, reject) => {
    const request = http.request({host, port, method, path, headers, signal});
    request.setTimeout(callMilliseconds, () =>
      request.destroy(new Error(`no answer in ${callMilliseconds} ms`)),
    );
    request.on('response', resolve);
    request.on('error', reject);
    request.end(text);
  });
}

/** Sends a call and reads the whole JSON answer. */
export async function fetchReply(call: EntryCall): Promise<EntryReply> {
  const response = await openCall(call);
  const body = await readJson(response);
  return {status: response.statusCode ?? 0, body};
}

/** Reads the whole of a JSON answer. */
export async function readJson(
  response: http.IncomingMessage,
): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of response) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : (JSON.parse(text) as unknown);
}

/** Reads server-sent events until the stream ends; throws when it breaks. */
export async function* readEvents(
  response: http.IncomingMessage,
): AsyncGenerator<ServerEvent> {
  let id = '';
  let event = '';
  let data = '';
  let broken: Error | undefined;
  response.on('error', error => (broken = error));
  for await (const line of createInterface({input: response})) {
    if (line === '') {
      if (event !== '') yield {id, event, data};
      event = '';
      data = '';
      continue;
    }
    const colon = line.indexOf(': ');
    const value = line.slice(colon + 2);
    const field = line.slice(0, colon);
    if (field === 'id') id = value;
    else if (field === 'event') event = value;
    else if (field === 'data') data += value;
  }
  if (broken !== undefined) throw broken;
}
