import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  Answerer,
  canBeAnswerTo,
  findAnswerer,
  isEndOfAsked,
  type EndpointCall,
  type ProcessClaims,
} from '../src/index.js';

const id = 'e1';
const bornAt = 1000;
const kind = 'card';
const models = ['m'];
const asked = {id, bornAt, hasAddress: true, kind, models};
const call: EndpointCall = {asked, isRelayed: false};

function find(
  claims: Partial<ProcessClaims> | undefined,
  changes: Partial<EndpointCall> = {},
): Answerer {
  const stated = claims && {isMisdirected: false, ...claims};
  return findAnswerer({...call, ...changes}, stated);
}

/** The calls that can be sent; a call without an id goes over new connections too. */
const calls = fc.record({
  bornAt: fc.constantFrom(bornAt, undefined),
  hasAddress: fc.boolean(),
  isRelayed: fc.boolean(),
  hasPath: fc.boolean(),
  callId: fc.constantFrom(undefined, 'c2'),
  isKept: fc.boolean(),
});

type CallChoice =
  typeof calls extends fc.Arbitrary<infer Value> ? Value : never;

function makeCall({bornAt: known, hasAddress, ...rest}: CallChoice) {
  return {...rest, asked: {...asked, bornAt: known, hasAddress}};
}

/** Gives the id that an answer to the call itself has. */
function makeOwnId({callId}: CallChoice): {callId?: string} {
  return callId === undefined ? {} : {callId};
}

test('nothing that a sound process answers counts as its end', () => {
  const answers = fc.record({
    isMisdirected: fc.boolean(),
    endpointId: fc.constantFrom(id, undefined),
    bornAt: fc.constantFrom(bornAt, bornAt - 5, undefined),
    kind: fc.constantFrom(kind, undefined),
    models: fc.constantFrom(undefined, [], ['m'], ['another']),
  });
  fc.assert(
    fc.property(calls, answers, (choice, answer) => {
      // A refusal that names no endpoint is that of another one, unless a path is
      // named, a part of which may be missing.
      const isRefusal = answer.isMisdirected && answer.endpointId === undefined;
      fc.pre(!isRefusal || choice.hasPath);
      const claims = {...answer, ...makeOwnId(choice)};
      const answerer = findAnswerer(makeCall(choice), claims);
      assert.equal(isEndOfAsked(answerer), false, answerer);
    }),
  );
});

test('a process of another endpoint is never taken for the one asked', () => {
  const answers = fc.record({
    isMisdirected: fc.boolean(),
    bornAt: fc.constantFrom(bornAt - 5, bornAt, bornAt + 5, undefined),
    kind: fc.constantFrom(undefined, kind, 'other card'),
    models: fc.constantFrom(undefined, ['m'], ['another']),
  });
  fc.assert(
    fc.property(calls, answers, (choice, answer) => {
      const claims = {...answer, endpointId: 'e2', ...makeOwnId(choice)};
      const answerer = findAnswerer(makeCall(choice), claims);
      const isCertain = choice.hasAddress && !choice.isRelayed;
      assert.equal(answerer, isCertain ? Answerer.Other : Answerer.Unknown);
    }),
  );
});

test('an answer to another call tells nothing', () => {
  const answers = fc.record({
    isMisdirected: fc.boolean(),
    endpointId: fc.constantFrom(id, 'e2', undefined),
    bornAt: fc.constantFrom(bornAt, bornAt + 5, undefined),
    callId: fc.constantFrom('c1', undefined),
  });
  fc.assert(
    fc.property(calls, answers, (choice, claims) => {
      const {callId, isKept} = choice;
      const isOwn = callId === claims.callId;
      fc.pre(!isOwn && (isKept || callId !== undefined));
      assert.equal(findAnswerer(makeCall(choice), claims), Answerer.Unknown);
    }),
  );
});

test('a later start is the same endpoint again, unless it is of another kind or model', () => {
  const expected: readonly [Partial<ProcessClaims>, Answerer][] = [
    [{}, Answerer.Successor],
    [{kind, models}, Answerer.Successor],
    [{models: []}, Answerer.Successor],
    [{models: ['other', 'm']}, Answerer.Successor],
    [{endpointId: id, kind: 'other', models: ['x']}, Answerer.Successor],
    [{kind: 'other'}, Answerer.Other],
    [{kind, models: ['x']}, Answerer.Other],
  ];
  for (const [claims, answerer] of expected) {
    const stated = {bornAt: bornAt + 1, ...claims};
    assert.equal(find(stated), answerer, JSON.stringify(claims));
  }
});

test('an endpoint without a model does not start again with one', () => {
  const plain = {asked: {id, bornAt, hasAddress: true}};
  assert.equal(find({bornAt: bornAt + 1, kind}, plain), Answerer.Other);
  assert.equal(find({bornAt: bornAt + 1}, plain), Answerer.Successor);
});

test('a refusal of what is meant for another endpoint tells who has the address', () => {
  const isMisdirected = true;
  assert.equal(find({isMisdirected}), Answerer.Other);
  assert.equal(find({isMisdirected, endpointId: 'e2'}), Answerer.Other);
  assert.equal(find({isMisdirected, endpointId: id}), Answerer.Unknown);
  // A further endpoint of the path may not hold its part.
  assert.equal(find({isMisdirected}, {hasPath: true}), Answerer.Unknown);
});

// Plain services refuse requests without an id before they look for whom they are.
test('an endpoint of a model does not take a call for a request', () => {
  const isTakenForRequest = true;
  const hasAddress = true;
  assert.equal(find({isTakenForRequest}), Answerer.Other);
  assert.equal(find({isTakenForRequest, endpointId: id}), Answerer.Unknown);
  for (const [known, answerer] of [
    [{kind}, Answerer.Other],
    [{models}, Answerer.Other],
    [{models: []}, Answerer.Unknown],
    [{}, Answerer.Unknown],
  ] as const) {
    const changes = {asked: {id, bornAt, hasAddress, ...known}};
    assert.equal(find({isTakenForRequest}, changes), answerer);
  }
});

test('nothing that listens shows the end of a process that had the address', () => {
  assert.equal(find(undefined), Answerer.Nobody);
  const elsewhere = {asked: {...asked, hasAddress: false}};
  assert.equal(find(undefined, elsewhere), Answerer.Unknown);
});

test('any other answer leaves open who gave it', () => {
  assert.equal(find({}), Answerer.Unknown);
  assert.equal(find({endpointId: id}), Answerer.Unknown);
  assert.equal(find({bornAt: bornAt - 1}), Answerer.Unknown);
  assert.equal(find({bornAt}), Answerer.Asked);
});

test('an answer belongs to a call by its id, or as the only one of a connection', () => {
  assert.equal(canBeAnswerTo({callId: 'c1'}, 'c1'), true);
  assert.equal(canBeAnswerTo({callId: 'c1'}, 'c2'), false);
  assert.equal(canBeAnswerTo({callId: 'c1'}, undefined), false);
  assert.equal(canBeAnswerTo({}, 'c2'), true);
  assert.equal(canBeAnswerTo({isKept: true}, 'c2'), false);
  assert.equal(canBeAnswerTo({isKept: true}, undefined), true);
});
