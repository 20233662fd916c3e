const eventEnd = '\n\n';

/** The beginning of a line that is no field, comment or end of an event. */
const foreignLine = /(?:^|\n)(?![\r\n:]|$|[a-z][\w-]*(?:[:\r\n]|$))/;

/**
 * Finds where whole events of a stream are followed by text that belongs to none,
 * such as the head of another answer; undefined if all of it are events.
 */
export function findForeignText(events: string): number | undefined {
  const at = events.search(foreignLine);
  if (at === -1) return undefined;
  const end = events.lastIndexOf(eventEnd, at);
  return end === -1 ? 0 : end + eventEnd.length;
}
