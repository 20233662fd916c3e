import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Result} from 'true-myth';
import {EndCheck} from '../src/fleet/end_check.js';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import {Metrics} from '../src/log/metrics.js';
import {
  EndpointErrorCode,
  makeEndpointError,
  type EndpointCalls,
} from '../src/ports/index.js';
import {makeEntry} from './make_entry.js';

function makeCheck(answers: (EndpointErrorCode | undefined)[]) {
  const table = new EndpointTable(
    () => undefined,
    () => performance.now(),
  );
  table.applyEntry(makeEntry({}));
  const checkListening: EndpointCalls['checkListening'] = () => {
    const code = answers.shift();
    if (code === undefined) return Promise.resolve(Result.ok());
    return Promise.resolve(Result.err(makeEndpointError(code, 'refused')));
  };
  const ended: string[] = [];
  const check = new EndCheck(
    table,
    {checkListening},
    ({id}) => ended.push(id),
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
