import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  decideIntake,
  defaultMemoryMegabytes,
  deriveIntakeLimits,
  describeExcess,
  IntakeKind,
  IntakeScope,
  IntakeSource,
  kindLimits,
} from '@zinniaspindle/decisions';
import fc from 'fast-check';

const limits = deriveIntakeLimits(defaultMemoryMegabytes);
const memoryBytes = defaultMemoryMegabytes * 1024 * 1024;
/** Endpoints of the largest deployment, each with as many places. */
const places = 340 * 134;

test('each kind of item has a limit', () => {
  for (const kind of Object.values(IntakeKind)) {
    const {maxItem} = kindLimits[kind];
    if (maxItem === Infinity) continue;
    const request = {kind, otherBytes: 0, countPlaces: () => 1};
    assert.equal(
      decideIntake(limits, {...request, itemBytes: maxItem}),
      undefined,
    );
    const excess = decideIntake(limits, {...request, itemBytes: maxItem + 1});
    assert.equal(excess?.scope, IntakeScope.Item);
  }
});

test('all sources together take less than a third of the memory', () => {
  const total = Object.values(limits).reduce((sum, bytes) => sum + bytes, 0);
  assert.ok(total < memoryBytes / 3, `${total} bytes`);
});

test('an item of an honest place fits while all others send without end', () => {
  const countPlaces = () => places;
  const kind = IntakeKind.PartialEvent;
  const vmBytes = limits[IntakeSource.Endpoints];
  const otherBytes = Math.floor(vmBytes / 2);
  const itemBytes = 300;
  const request = {kind, itemBytes, otherBytes, countPlaces};
  assert.equal(decideIntake(limits, request), undefined);
  const large = {...request, itemBytes: 5000};
  assert.equal(decideIntake(limits, large)?.scope, IntakeScope.Vm);
});

test('items that all grow never hold more than the limit of the VM', () => {
  const steps = fc.array(
    fc.tuple(fc.nat(99), fc.integer({min: 1, max: 80_000})),
    {maxLength: 200},
  );
  const memory = fc.integer({min: 1, max: 512});
  const kinds = fc.constantFrom(
    IntakeKind.PartialEvent,
    IntakeKind.BufferedAnswer,
    IntakeKind.ErrorBody,
  );
  const check = (
    taken: readonly (readonly [number, number])[],
    megabytes: number,
    kind: IntakeKind,
  ) => {
    const small = deriveIntakeLimits(megabytes);
    const items = new Map<number, number>();
    let total = 0;
    for (const [item, bytes] of taken) {
      const held = items.get(item) ?? 0;
      const itemBytes = held + bytes;
      const otherBytes = total - held;
      const countPlaces = () => 100;
      const request = {kind, itemBytes, otherBytes, countPlaces};
      if (decideIntake(small, request) !== undefined) continue;
      items.set(item, itemBytes);
      total += bytes;
    }
    assert.ok(total <= small[IntakeSource.Endpoints]);
    for (const bytes of items.values()) {
      assert.ok(bytes <= kindLimits[kind].maxItem);
    }
  };
  fc.assert(fc.property(steps, memory, kinds, check), {
    numRuns: 1000,
    seed: 35,
  });
});

test('a bound that was reached is described with its amounts', () => {
  const kind = IntakeKind.InterimHeads;
  const otherBytes = 0;
  const request = {kind, itemBytes: 9, otherBytes, countPlaces: () => 1};
  const excess = decideIntake(limits, request)!;
  assert.equal(
    describeExcess(excess),
    'informational heads of 9 heads, limit is 8',
  );
});
