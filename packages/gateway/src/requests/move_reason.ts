/** Why a stream leaves a path. */
export enum MoveReason {
  Silent = 'path is silent',
  /** It is still queued at its endpoint. */
  Queued = 'no first event in time',
}
