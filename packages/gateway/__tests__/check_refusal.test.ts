import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {StagePath} from '@zinniaspindle/decisions';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import type {EndpointAnswer} from '../src/ports/index.js';
import {checkRefusal} from '../src/requests/check_refusal.js';
import type {ServerContext} from '../src/requests/request_context.js';
import {makeEntry} from './make_entry.js';

const firstAddress = '10.0.0.1:80';
const furtherAddress = '10.0.0.2:80';

/** Lists the checks after a refusal of a path through e1 and e2. */
function listChecks(failedAddress: string | undefined): unknown[] {
  const endpoints = new EndpointTable(
    () => undefined,
    () => 0,
  );
  // Its entry is still listed, beside that of the endpoint that has its address.
  const ended = makeEntry({id: 'ended', address: furtherAddress});
  const listed = [
    ended,
    makeEntry({id: 'e1', address: firstAddress}),
    makeEntry({id: 'e2', address: furtherAddress}),
  ];
  for (const entry of listed) endpoints.applyEntry(entry);
  const checks: unknown[] = [];
  const prober = {
    checkRefusal: (id: string, reason: string, layers: unknown) =>
      Promise.resolve(checks.push([id, reason, layers])),
  };
  const path = {
    parts: [
      {endpoint: {id: 'e1', address: firstAddress}, layers: 'lower'},
      {endpoint: {id: 'e2', address: furtherAddress}, layers: 'upper'},
    ],
  } as unknown as StagePath;
  checkRefusal({endpoints, prober} as unknown as ServerContext, path, {
    status: 503,
    failedAddress,
  } as EndpointAnswer);
  return checks;
}

test('the first endpoint of a path is checked if its refusal names none', () => {
  const reason = `status 503 at ${firstAddress}`;
  assert.deepEqual(listChecks(undefined), [['e1', reason, 'lower']]);
});

test('the endpoint of the path is checked, not another one listed with its address', () => {
  const reason = `status 503 at ${furtherAddress}`;
  assert.deepEqual(listChecks(furtherAddress), [['e2', reason, 'upper']]);
});

test('a refusal at an address that the path does not have checks none', () => {
  assert.deepEqual(listChecks('10.0.0.3:80'), []);
});
