import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {SourceState} from '@zinniaspindle/decisions';
import {Result} from 'true-myth';
import {SourceCheck} from '../src/fleet/source_check.js';
import {Metrics} from '../src/log/metrics.js';
import {
  EndpointErrorCode,
  makeEndpointError,
  type EndpointCalls,
  type EndpointReport,
} from '../src/ports/index.js';

const bornAt = 1000;
const source = {id: 'e1', address: '10.0.0.1:80', bornAt};
const replyMilliseconds = 5;

/** Makes a check of an endpoint whose calls end as given, by its start or an error. */
function makeCheck(answers: (number | EndpointErrorCode)[]) {
  let calls = 0;
  const fetchReport: EndpointCalls['fetchReport'] = async () => {
    const answer = answers[Math.min(calls, answers.length - 1)]!;
    calls += 1;
    await waitMilliseconds(replyMilliseconds);
    return typeof answer === 'number'
      ? Result.ok({bornAt: answer} as EndpointReport)
      : Result.err(makeEndpointError(answer, 'no answer'));
  };
  const ended: string[] = [];
  const check = new SourceCheck({
    calls: {fetchReport},
    links: {open: () => () => undefined},
    handleEnded: ({id}, reason) => ended.push(`${id}: ${reason}`),
    metrics: new Metrics(),
    getNow: () => performance.now(),
  });
  return {check, ended, countCalls: () => calls};
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
