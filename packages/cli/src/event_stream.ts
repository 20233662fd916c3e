import type {Readable} from 'node:stream';
import {createInterface} from 'node:readline';

/** One server-sent event. */
export interface ServerSentEvent {
  readonly id: string;
  readonly event: string;
  readonly data: string;
}

/** Reads the server-sent events of an answer. */
export async function* readEvents(
  stream: Readable,
): AsyncGenerator<ServerSentEvent> {
  let id = '';
  let event = '';
  let data = '';
  for await (const line of createInterface({input: stream})) {
    if (line === '') {
      if (event !== '') yield {id, event, data};
      event = '';
      data = '';
      continue;
    }
    const colon = line.indexOf(': ');
    const value = line.slice(colon + 2);
    switch (line.slice(0, colon)) {
      case 'id':
        id = value;
        break;
      case 'event':
        event = value;
        break;
      case 'data':
        data += value;
        break;
    }
  }
}
