const eventEnd = Buffer.from('\n\n');

/** Counts the events in the whole events of a stream; at least 1. */
export function countEvents(bytes: Buffer): number {
  let count = 0;
  let at = bytes.indexOf(eventEnd);
  while (at !== -1) {
    count += 1;
    at = bytes.indexOf(eventEnd, at + eventEnd.length);
  }
  return Math.max(1, count);
}
