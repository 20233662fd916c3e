import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ProcessClaims} from '@zinniaspindle/decisions';
import {Result} from 'true-myth';
import {EndCheck} from '../src/fleet/end_check.js';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import {Metrics} from '../src/log/metrics.js';
import {
  EndpointErrorCode,
  makeEndpointError,
  type EndpointCalls,
  type EndpointReport,
} from '../src/ports/index.js';
import {makeEntry} from './make_entry.js';

const report = {bornAt: 1, orderCount: 0, isBusy: false} as EndpointReport;

/** Makes a check whose calls end with an error, a report or a refusal. */
function makeCheck(
  answers: (EndpointErrorCode | ProcessClaims | EndpointReport | undefined)[],
) {
  const table = new EndpointTable(
    () => undefined,
    () => performance.now(),
  );
  table.applyEntry(makeEntry({}));
  const fetchReport: EndpointCalls['fetchReport'] = () => {
    const answer = answers.shift() ?? report;
    if (typeof answer === 'string') {
      return Promise.resolve(Result.err(makeEndpointError(answer, 'failed')));
    }
    if (!('isMisdirected' in answer)) return Promise.resolve(Result.ok(answer));
    const code = EndpointErrorCode.Malformed;
    const error = makeEndpointError(code, 'refused', undefined, answer);
    return Promise.resolve(Result.err(error));
  };
  const ended: string[] = [];
  const check = new EndCheck(
    table,
    {fetchReport},
    {
      handleEnded: ({id}) => ended.push(id),
      handleReplaced: ({id}) => ended.push(`${id} replaced`),
    },
    new Metrics(),
  );
  return {check, ended};
}

test('an endpoint that stops listening after it reset its connections has ended', async () => {
  const answers = [undefined, EndpointErrorCode.NotListening];
  const {check, ended} = makeCheck(answers);
  await Promise.all([check.check('e1'), check.check('e1')]);
  assert.deepEqual(ended, ['e1']);
  assert.equal(answers.length, 0);
});

test('an endpoint that cannot be reached has not ended', async () => {
  const {check, ended} = makeCheck([
    EndpointErrorCode.Unreachable,
    EndpointErrorCode.TimedOut,
  ]);
  await check.check('e1');
  assert.deepEqual(ended, []);
});

// A run was not given back where another process listened at the address.
test('an endpoint whose address another process has has ended', async () => {
  const other = makeCheck([{isMisdirected: true, endpointId: 'e2'}]);
  await other.check.check('e1');
  assert.deepEqual(other.ended, ['e1 replaced']);
  const restarted = makeCheck([{...report, bornAt: 2}]);
  await restarted.check.check('e1');
  assert.deepEqual(restarted.ended, ['e1']);
});

test('an endpoint that answers, or refuses to, has not ended', async () => {
  const {check, ended} = makeCheck([report, {isMisdirected: false}]);
  await check.check('e1');
  assert.deepEqual(ended, []);
});
