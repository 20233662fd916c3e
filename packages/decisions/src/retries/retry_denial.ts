/** Why a request gets no further attempt. */
export enum RetryDenial {
  /** The attempts of its route, or those that end unrun, are used up. */
  Attempts = 'attempts used up',
  /** Its route allows no second run. */
  Route = 'not allowed by its route',
  Budget = 'retry budget used up',
  /** Endpoints have ended under requests like it. */
  Suspect = 'it may end endpoints',
  Place = 'no place in time',
  Deadline = 'deadline passed',
}
