import assert from 'node:assert/strict';
import {test} from 'node:test';
import {getAsked} from '../src/fleet/asked_endpoint.js';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import {makeReplacedHandler} from '../src/fleet/report_end.js';
import {makeEntry} from './make_entry.js';

function makeTable() {
  const table = new EndpointTable(
    () => undefined,
    () => performance.now(),
  );
  const told: string[] = [];
  const handleReplaced = makeReplacedHandler(table, {
    handleEnded: ({id, bornAt}, reason) => {
      told.push(`${id}@${bornAt}: ${reason}, ${table.find(id)?.entry.service}`);
    },
    handleDown: id => told.push(`${id} is down`),
    writeEvent: (event, {answerer}) => told.push(`${event} ${answerer}`),
  });
  table.applyEntry(makeEntry({bornAt: 5}));
  const answer = {
    claims: {isMisdirected: true, endpointId: 'e2'},
    source: 'report',
  };
  return {table, told, handle: handleReplaced, answer};
}

test('an endpoint whose address another one has is removed once all know of it', () => {
  const {table, told, handle, answer} = makeTable();
  const asked = getAsked(table.find('e1')!);
  handle(asked, answer);
  handle(asked, answer);
  assert.equal(table.find('e1'), undefined);
  assert.deepEqual(told, [
    '7223 e2',
    'e1@5: another endpoint has its address, letters',
    'e1 is down',
  ]);
});

// An endpoint may start again, at its old address or a new one, while a call is on
// its way.
test('an endpoint that is listed with a later start or another address stays', () => {
  for (const changes of [{bornAt: 6}, {address: '10.0.0.2:80', bornAt: 6}]) {
    const {table, told, handle, answer} = makeTable();
    const asked = getAsked(table.find('e1')!);
    table.applyEntry(makeEntry(changes));
    handle(asked, answer);
    assert.ok(table.find('e1') !== undefined);
    assert.deepEqual(told, []);
  }
});

test('an endpoint that was removed comes back with its next entry', () => {
  const {table, handle, answer} = makeTable();
  handle(getAsked(table.find('e1')!), answer);
  const entry = makeEntry({bornAt: 6, address: '10.0.0.3:80'});
  table.applyEntry(entry);
  assert.equal(table.isUsable(table.find('e1')!), true);
});

test('an endpoint is known to have an address by its entry alone, until it reports', () => {
  const {table} = makeTable();
  const state = table.find('e1')!;
  assert.equal(getAsked(state).hasAddress, true);
  const facts = {id: 'e1', orderCount: 0, held: undefined};
  table.applyReport({...facts, bornAt: 6});
  assert.equal(getAsked(state).hasAddress, false);
  table.applyEntry(makeEntry({bornAt: 6, address: '10.0.0.2:80'}));
  assert.equal(getAsked(state).hasAddress, true);
});
