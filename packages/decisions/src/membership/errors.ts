import {CodedError} from '@zinniaspindle/shared';

/** Errors of membership. */
export enum MembershipErrorCode {
  MalformedMessage = 'membership.malformedMessage',
}

/** Makes the error for a malformed message from a peer. */
export function makeMalformedMessage(
  from: string,
  detail: string,
): CodedError<MembershipErrorCode> {
  return new CodedError(
    MembershipErrorCode.MalformedMessage,
    `membership message from ${from}: ${detail}`,
  );
}
