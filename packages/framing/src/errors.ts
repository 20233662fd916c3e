import {CodedError} from '@zinniaspindle/shared';

/** Error codes of connections between entry VMs. */
export enum PeerErrorCode {
  BadHello = 'badHello',
  Malformed = 'malformed',
  NotListening = 'notListening',
  TooLong = 'tooLong',
  WrongVersion = 'wrongVersion',
}

/** An error of a connection between entry VMs. */
export type PeerError = CodedError<PeerErrorCode>;

/** Makes a peer error. */
export function makePeerError(
  code: PeerErrorCode,
  detail: string,
  cause?: unknown,
): PeerError {
  return new CodedError(code, `${code}: ${detail}`, cause);
}
