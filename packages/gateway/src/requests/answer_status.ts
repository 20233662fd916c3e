/** Tells whether a status promises that a request has not run and never will. */
export function isPromise(status: number): boolean {
  return status === 408 || status === 429 || status === 503;
}

/** Tells whether a status is one of success. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
