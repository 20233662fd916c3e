import {createHash, timingSafeEqual} from 'node:crypto';
import type http from 'node:http';
import type {AccountObject} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {CallerError, CallerErrorCode} from './errors.js';

const bearerPrefix = 'Bearer ';

/** Finds the account that has a token digest. */
export type FindAccount = (digest: string) => AccountObject | undefined;

/** Computes the SHA-256 digest of a text, in hexadecimal. */
export function hashText(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Compares two hexadecimal digests in constant time. */
export function hasSameDigest(a: string, b: string): boolean {
  const first = Buffer.from(a, 'hex');
  const second = Buffer.from(b, 'hex');
  return first.length === second.length && timingSafeEqual(first, second);
}

/** Reads the bearer token of a request. */
export function readBearerToken(
  request: http.IncomingMessage,
): Result<string, CallerError> {
  const header = request.headers.authorization;
  if (header === undefined || !header.startsWith(bearerPrefix)) {
    return Result.err(
      new CallerError(
        CallerErrorCode.Unauthorized,
        'header "authorization" must be "Bearer TOKEN"',
        'authorization',
      ),
    );
  }
  return Result.ok(header.slice(bearerPrefix.length).trim());
}

/** Finds the client account of a request by its bearer token. */
export function readAccount(
  request: http.IncomingMessage,
  findAccount: FindAccount,
): Result<AccountObject, CallerError> {
  return readBearerToken(request).andThen(token => {
    const digest = hashText(token);
    const account = findAccount(digest);
    const isKnown = account?.tokenDigests.some(held =>
      hasSameDigest(held, digest),
    );
    if (account !== undefined && isKnown === true) return Result.ok(account);
    return Result.err(
      new CallerError(
        CallerErrorCode.Unauthorized,
        'the bearer token belongs to no client account',
        'authorization',
      ),
    );
  });
}
