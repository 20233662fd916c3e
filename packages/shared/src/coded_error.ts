/** An error with a code; each module has an enum of its own codes. */
export class CodedError<Code extends string = string> extends Error {
  constructor(
    /** A code from the enum of the module that throws or returns the error. */
    readonly code: Code,
    message: string,
    /** The lower-level error that this one wraps. */
    override readonly cause?: unknown,
  ) {
    super(message);
    this.name = 'CodedError';
  }
}

/** Returns the message of a thrown value, which need not be an Error. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
