import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {EraFleet, EraStep} from './era_fleet.js';

const seed = 20261204;
const numRuns = 1000;
const vms = 3;

const stepArbitrary = fc.record({
  kind: fc.constantFrom(...Object.values(EraStep)),
  vm: fc.nat(vms - 1),
  amount: fc.nat(5),
});

test('no order of setbacks, reads, messages and restarts brings back an older configuration or gives a token twice', async () => {
  const steps = fc.array(stepArbitrary, {minLength: 10, maxLength: 80});
  await fc.assert(
    fc.asyncProperty(steps, async list => {
      const fleet = new EraFleet(vms);
      for (const step of list) await fleet.run(step);
      await fleet.resume();
      assert.deepEqual(fleet.faults, []);
    }),
    {seed, numRuns},
  );
});
