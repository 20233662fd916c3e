import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DepartedEndpoints} from '../src/fleet/departed_endpoints.js';
import {createEndpointState} from '../src/fleet/endpoint_state.js';
import {makeEntry} from './make_entry.js';

// VMs that do not own the orders never list them, and endpoints get new ids.
test('endpoints that have departed are not kept if nobody lists them', () => {
  const clock = {now: 1000};
  const departed = new DepartedEndpoints(() => clock.now);
  for (let i = 0; i < 50; i += 1) {
    departed.add(createEndpointState(makeEntry({id: `e${i}`})));
    clock.now += 1000;
  }
  assert.ok(departed.count() <= 11, `${departed.count()} endpoints`);
  assert.deepEqual(
    departed.list('letters').map(({entry}) => entry.id),
    ['e41', 'e42', 'e43', 'e44', 'e45', 'e46', 'e47', 'e48', 'e49'],
  );
});
