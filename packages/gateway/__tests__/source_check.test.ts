import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {SourceState, type ProcessClaims} from '@zinniaspindle/decisions';
import {Result} from 'true-myth';
import {SourceCheck} from '../src/fleet/source_check.js';
import type {EndpointConnection} from '../src/links/open_connection.js';
import {Metrics} from '../src/log/metrics.js';
import {
  EndpointErrorCode,
  makeEndpointError,
  type EndpointCalls,
  type EndpointError,
  type EndpointReport,
} from '../src/ports/index.js';

const bornAt = 1000;
const source = {id: 'e1', address: '10.0.0.1:80', bornAt, hasAddress: true};
const replyMilliseconds = 5;

/** How a call ends: with the start in a report, an error or a refusal. */
type CallEnd = number | EndpointErrorCode | ProcessClaims;

function toResult(end: CallEnd): Result<EndpointReport, EndpointError> {
  switch (typeof end) {
    case 'number':
      return Result.ok({bornAt: end} as EndpointReport);
    case 'string':
      return Result.err(makeEndpointError(end, 'no answer'));
    default: {
      const code = EndpointErrorCode.Malformed;
      return Result.err(makeEndpointError(code, 'refused', undefined, end));
    }
  }
}

/** Makes a check of an endpoint whose calls end as given, through a peer or not. */
function makeCheck(answers: CallEnd[], relay?: string) {
  let calls = 0;
  const asked: string[] = [];
  const fetchReport: EndpointCalls['fetchReport'] = async (
    {id},
    _handleNotice,
    open,
  ) => {
    const answer = answers[Math.min(calls, answers.length - 1)]!;
    calls += 1;
    asked.push(id);
    open!(() => undefined);
    await waitMilliseconds(replyMilliseconds);
    return toResult(answer);
  };
  const ended: string[] = [];
  const check = new SourceCheck({
    calls: {fetchReport},
    links: {
      open: (_target, handle) => {
        handle(Result.ok({relay} as EndpointConnection));
        return () => undefined;
      },
    },
    listeners: {
      handleEnded: ({id}, reason) => ended.push(`${id}: ${reason}`),
      handleReplaced: ({id}) => ended.push(`${id}: replaced`),
    },
    metrics: new Metrics(),
    getNow: () => performance.now(),
  });
  return {check, ended, asked, countCalls: () => calls};
}

test('an endpoint that answers after an end has outlived it', async () => {
  for (const answer of [bornAt, EndpointErrorCode.Malformed]) {
    const {check, ended} = makeCheck([answer]);
    assert.equal(await check.check(source), SourceState.Alive);
    assert.deepEqual(ended, []);
  }
});

test('an endpoint that is gone or has started again has not outlived an end', async () => {
  for (const answer of [EndpointErrorCode.NotListening, bornAt + 1]) {
    const {check, ended} = makeCheck([answer]);
    assert.equal(await check.check(source), SourceState.Ended);
    assert.equal(ended.length, 1);
  }
});

test('an endpoint whose connections break for a moment is asked again', async () => {
  const {Unreachable, TimedOut} = EndpointErrorCode;
  const {check} = makeCheck([Unreachable, TimedOut, bornAt]);
  assert.equal(await check.check(source), SourceState.Alive);
});

test('nothing is known of an endpoint that stays silent', async () => {
  const {check, ended} = makeCheck([EndpointErrorCode.TimedOut]);
  assert.equal(await check.check(source), SourceState.Unknown);
  assert.deepEqual(ended, []);
});

// Another service may have the address of an endpoint that has ended.
test('an endpoint of a model is known by its report alone', async () => {
  const {check} = makeCheck([bornAt]);
  const {state, report} = await check.checkPart(source);
  assert.equal(state, SourceState.Alive);
  assert.equal(report?.bornAt, bornAt);
  const expected = [
    [EndpointErrorCode.Malformed, SourceState.Unknown],
    [EndpointErrorCode.NotListening, SourceState.Ended],
    [bornAt + 1, SourceState.Ended],
  ] as const;
  for (const [answer, found] of expected) {
    const other = await makeCheck([answer]).check.checkPart(source);
    assert.deepEqual(other, {state: found, report: undefined});
  }
});

test('only a call that is sent after an end tells of it', async () => {
  const answers = [bornAt, EndpointErrorCode.NotListening];
  const {check, countCalls} = makeCheck(answers);
  const first = check.check(source);
  await waitMilliseconds(1);
  const later = [check.check(source), check.check(source)];
  assert.equal(await first, SourceState.Alive);
  const states = await Promise.all(later);
  assert.deepEqual(states, [SourceState.Ended, SourceState.Ended]);
  assert.equal(countCalls(), 2);
});

const misdirected = {isMisdirected: true, endpointId: 'e2'};

// review/15: any answer at a reused address made the answer of an ended endpoint whole.
test('an endpoint whose address another one has has not outlived an end', async () => {
  for (const claims of [misdirected, {isMisdirected: true}]) {
    const {check, ended} = makeCheck([claims]);
    assert.equal(await check.check(source), SourceState.Ended);
    assert.deepEqual(ended, ['e1: replaced']);
  }
});

test('an answer of another endpoint through a peer, or at an old address, is no end', async () => {
  const moved = {...source, hasAddress: false};
  for (const [relay, asked] of [
    ['vm-1', source],
    [undefined, moved],
  ] as const) {
    const {check, ended} = makeCheck([misdirected], relay);
    assert.equal(await check.check(asked), SourceState.Unknown);
    assert.deepEqual(ended, []);
  }
});

test('a refusal of an endpoint that names itself shows that it lives', async () => {
  const {check, ended} = makeCheck([{isMisdirected: true, endpointId: 'e1'}]);
  assert.equal(await check.check(source), SourceState.Alive);
  assert.deepEqual(ended, []);
});

// A process whose clock was set back before its start was taken for the one before.
test('a report of an earlier start does not show that an endpoint lives', async () => {
  const {check, ended} = makeCheck([bornAt - 1]);
  assert.equal(await check.check(source), SourceState.Unknown);
  assert.deepEqual(ended, []);
});

test('endpoints that have had the same address are asked for themselves', async () => {
  const {check, asked} = makeCheck([misdirected, bornAt]);
  const other = {...source, id: 'e2'};
  const states = await Promise.all([check.check(source), check.check(other)]);
  assert.deepEqual(asked, ['e1', 'e2']);
  assert.deepEqual(states, [SourceState.Ended, SourceState.Alive]);
});
