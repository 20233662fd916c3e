import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {CallerRequest} from '../src/ports/index.js';
import {
  RequestHash,
  type RequestDigests,
} from '../src/requests/request_hash.js';

const request: CallerRequest = {
  host: 'h.example',
  path: '/a/b?c=1',
  attemptId: 'one',
  key: 'key-1',
  timeoutMilliseconds: 100,
  promptTokens: 0,
  maxAnswerTokens: 0,
  promptParts: [],
  prompt: 'm 10,20 p:10',
  estimatedAnswerTokens: undefined,
  lastEventId: undefined,
  forwardedHeaders: [],
};

function hash(
  changes: Partial<CallerRequest> = {},
  body: readonly string[] = ['body'],
  method = 'POST',
  account = 'optics',
): RequestDigests {
  const hashed = new RequestHash(method, {...request, ...changes}, account);
  for (const piece of body) hashed.addBody(Buffer.from(piece));
  return hashed.computeDigests();
}

test('attempts of one request have the same digests', () => {
  const first = hash();
  const second = hash({
    attemptId: 'two',
    timeoutMilliseconds: 50,
    lastEventId: '3',
  });
  assert.deepEqual(first, second);
});

test('a body in pieces has the digests of the whole', () => {
  const whole = hash({}, ['x'.repeat(100_000)]);
  assert.deepEqual(hash({}, Array<string>(100).fill('x'.repeat(1000))), whole);
  assert.deepEqual(hash({}, []), hash({}, ['']));
});

test('requests that an endpoint can tell apart differ in both digests', () => {
  const digests = [
    hash(),
    hash({host: 'i.example'}),
    hash({path: '/a/b?c=2'}),
    hash({}, ['other']),
    hash({}, []),
    hash({}, ['body'], 'PUT'),
    hash({}, ['body'], 'POST', 'lenses'),
    // Fields that run together without a mark between them.
    hash({host: 'h.example/a', path: '/b?c=1'}),
  ];
  assert.equal(new Set(digests.map(({exact}) => exact)).size, digests.length);
  const ofAccounts = new Set(digests.map(({ofAccount}) => ofAccount));
  assert.equal(ofAccounts.size, digests.length);
});

test('another key or prompt of one account differs in the exact digest only', () => {
  const {exact, ofAccount} = hash();
  for (const change of [{key: 'key-2'}, {prompt: 'm 10,20 q:10'}]) {
    const other = hash(change);
    assert.notEqual(other.exact, exact);
    assert.equal(other.ofAccount, ofAccount);
  }
});
