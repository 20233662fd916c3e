/** A request to an endpoint that is under way. */
export interface EndpointRequest {
  /**
   * Cancels the request by closing its connection; the listener is not called.
   */
  cancel(): void;
  /** Calls a function when the request ends or is cancelled. */
  addCloseHandler(handleClose: () => void): void;
  /** The peer VM through which the connection goes; undefined for none. */
  getRelay(): string | undefined;
  /**
   * Counts the bytes that have come on a connection of this VM itself; undefined
   * without one.
   */
  countDirectBytes(): number | undefined;
  /** Pauses reading the answer, for backpressure. */
  stopReading(): void;
  /** Resumes reading the answer. */
  resumeReading(): void;
  /** Tells whether the answer states where it ends, by a length or chunks. */
  isFramed(): boolean;
}
