/** Tells whether a status is 2xx. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
