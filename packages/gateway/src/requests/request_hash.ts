import {createHash, type Hash} from 'node:crypto';
import {requestTraitPrefix} from '@zinniaspindle/decisions';
import type {CallerRequest} from '../ports/index.js';

/**
 * Characters of a digest that are kept: 132 bits, so that no two requests have
 * the same one by chance.
 */
const digestCharacters = 22;

/** Digests that equal requests share; neither key nor body can be read from them. */
export interface RequestDigests {
  /** Of requests with the same key and prompt, apart from the below. */
  readonly exact: string;
  /** Of requests with the same method, host, path, client account and body. */
  readonly ofAccount: string;
}

/** Hashes what tells requests apart, while the body is read. */
export class RequestHash {
  private readonly hash: Hash;

  constructor(
    method: string,
    private readonly request: CallerRequest,
    accountName: string | undefined,
  ) {
    const {host, path} = request;
    this.hash = createHash('sha256');
    this.hash.update(encodeFields(method, host, path, accountName));
  }

  /** Adds the next piece of the body. */
  addBody(chunk: Buffer): void {
    this.hash.update(chunk);
  }

  /** Computes the digests; called once, when the body is complete. */
  computeDigests(): RequestDigests {
    const {key, prompt} = this.request;
    const ofAccount = formatDigest(this.hash);
    const exact = createHash('sha256');
    exact.update(encodeFields(ofAccount, key, prompt));
    return {exact: formatDigest(exact), ofAccount};
  }
}

/**
 * Lists what other requests under which endpoints end are compared by: digests
 * of the request, then the parts of its prompt that others may share.
 */
export function listTraits(
  {promptParts}: CallerRequest,
  {exact, ofAccount}: RequestDigests,
): readonly string[] {
  return [exact, ofAccount, ...promptParts];
}

/** Encodes fields so that different ones never have the same bytes. */
function encodeFields(...fields: readonly (string | undefined)[]): string {
  return JSON.stringify(fields.map(field => field ?? null));
}

function formatDigest(hash: Hash): string {
  const text = hash.digest('base64url').slice(0, digestCharacters);
  return `${requestTraitPrefix}${text}`;
}
