import {CodedError} from '@zinniaspindle/shared';

/** Errors of membership. */
export enum MembershipErrorCode {
  MalformedMessage = 'membership.malformedMessage',
}

/** Makes the error for a peer's message that cannot be used. */
export function makeMalformedMessage(
  from: string,
  detail: string,
): CodedError<MembershipErrorCode> {
  return new CodedError(
    MembershipErrorCode.MalformedMessage,
    `membership message from ${from}: ${detail}`,
  );
}
