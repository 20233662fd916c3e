import type http from 'node:http';

/** What an open request takes in the heap, beside its head. */
const requestBytes = 8 * 1024;
/** The same for each name and value of a header. */
const textBytes = 100;
/** How often the text of a head is kept. */
const copies = 2;

/** What the smallest request takes in the heap. */
export const minRequestBytes = requestBytes;

/** Computes what an open request takes in the heap. */
export function computeRequestBytes({
  rawHeaders,
  url = '',
}: http.IncomingMessage): number {
  let characters = url.length;
  for (const text of rawHeaders) characters += text.length;
  return requestBytes + characters * copies + rawHeaders.length * textBytes;
}
