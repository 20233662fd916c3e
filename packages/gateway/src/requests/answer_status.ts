/**
 * Tells whether a status promises callers that the request has not run and never
 * will.
 */
export function isNotRunStatus(status: number): boolean {
  return status === 408 || status === 429 || status === 503;
}

/** Tells whether a status is 2xx. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
