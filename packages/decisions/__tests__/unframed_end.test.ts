import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  isAfterStall,
  SourceState,
  UnframedVerdict,
  verifyUnframedEnd,
  type KnownOrder,
  type StageEvidence,
  type UnframedEvidence,
} from '../src/index.js';

const stallMilliseconds = 2500;
const layers = {first: 2, end: 4};
const cut = {range: {first: 0, end: 3}, cutsRequests: true};
const queued = {...cut, cutsRequests: false};
const kept = {range: {first: 0, end: 8}, cutsRequests: true};

/** Makes what is known of a part that no order was sent to. */
function makePart(changes: Partial<StageEvidence> = {}): StageEvidence {
  return {
    ...{layers, state: SourceState.Alive, sentAtCount: 1, orders: []},
    report: {orderCount: 1, held: layers, isOfEnd: true},
    ...changes,
  };
}

function verify(changes: Partial<UnframedEvidence>): UnframedVerdict {
  return verifyUnframedEnd({
    silence: {milliseconds: 50, isOfPath: true, stallMilliseconds},
    source: SourceState.Alive,
    parts: [],
    ...changes,
  });
}

function verifyPart(changes: Partial<StageEvidence>): UnframedVerdict {
  return verify({parts: [makePart(), makePart(changes)]});
}

test('only an endpoint that outlives its connection ends an answer', () => {
  const verdicts = Object.values(SourceState).map(source => verify({source}));
  assert.deepEqual(verdicts, [
    UnframedVerdict.Whole,
    UnframedVerdict.SourceEnded,
    UnframedVerdict.SourceUnknown,
  ]);
});

test('each endpoint of a path has to outlive the end', () => {
  const verdicts = Object.values(SourceState).map(state => verifyPart({state}));
  assert.deepEqual(verdicts, [
    UnframedVerdict.Whole,
    UnframedVerdict.PartEnded,
    UnframedVerdict.PartUnknown,
  ]);
});

test('an end after a long silence of a path of several endpoints is that of a stall', () => {
  const isStall = (milliseconds: number, isOfPath: boolean) =>
    isAfterStall({milliseconds, isOfPath, stallMilliseconds});
  assert.equal(isStall(2400, true), true);
  // A sound endpoint may be silent for about a second.
  assert.equal(isStall(1200, true), false);
  assert.equal(isStall(2400, false), false);
  const silence = {milliseconds: 2400, isOfPath: true, stallMilliseconds};
  assert.equal(verify({silence}), UnframedVerdict.AfterStall);
});

test('an accepted order that gives up layers of the path may have cut the answer', () => {
  const orders = [{...cut, orderCount: 2}];
  const report = {orderCount: 2, held: {first: 2, end: 3}, isOfEnd: true};
  assert.equal(verifyPart({report, orders}), UnframedVerdict.Ordered);
  // Also where another VM, or an earlier try, named the same number.
  const both = [...orders, {...queued, orderCount: 2}];
  assert.equal(verifyPart({report, orders: both}), UnframedVerdict.Ordered);
  // The layers may have been loaded again since.
  const later = {orderCount: 3, held: layers, isOfEnd: true};
  const more = [...orders, {...kept, orderCount: 3}];
  assert.equal(
    verifyPart({report: later, orders: more}),
    UnframedVerdict.Ordered,
  );
});

test('an order that was not accepted, lets requests finish or keeps the layers cuts nothing', () => {
  const report = {orderCount: 2, held: undefined, isOfEnd: true};
  const unaccepted = {orders: [{...cut, orderCount: 2}]};
  assert.equal(verifyPart(unaccepted), UnframedVerdict.Whole);
  for (const order of [queued, kept]) {
    const orders = [{...order, orderCount: 2}];
    assert.equal(verifyPart({report, orders}), UnframedVerdict.Whole);
  }
  const before = {sentAtCount: 2, report, orders: [{...cut, orderCount: 2}]};
  assert.equal(verifyPart(before), UnframedVerdict.Whole);
});

test('an order that nobody has told of cuts nothing if the layers are held', () => {
  const report = {orderCount: 2, held: layers, isOfEnd: true};
  assert.equal(verifyPart({report}), UnframedVerdict.Whole);
  const held = {first: 0, end: 3};
  const without = {report: {...report, held}};
  assert.equal(verifyPart(without), UnframedVerdict.Ordered);
  // The second one may have loaded again what the first one gave up.
  const two = {report: {...report, orderCount: 3}};
  assert.equal(verifyPart(two), UnframedVerdict.Ordered);
  const orders = [{...kept, orderCount: 3}];
  assert.equal(verifyPart({...two, orders}), UnframedVerdict.Ordered);
  const first = [{...kept, orderCount: 2}];
  assert.equal(verifyPart({...two, orders: first}), UnframedVerdict.Whole);
});

test('a report of before the end does not show that an order was not accepted', () => {
  const report = {orderCount: 1, held: layers, isOfEnd: false};
  assert.equal(verifyPart({report}), UnframedVerdict.Whole);
  const orders = [{...cut, orderCount: 2}];
  assert.equal(verifyPart({report, orders}), UnframedVerdict.Ordered);
  assert.equal(verifyPart({report: undefined}), UnframedVerdict.Ordered);
});

/** What may end a stream on a path of two endpoints. */
enum Cause {
  Whole = 'whole',
  /** An order on one of the two gives up layers of the path. */
  Cut = 'cut',
  /** An endpoint further on is gone, and the first one has waited for it. */
  Stall = 'stall',
  /** The first endpoint ends. */
  Crash = 'crash',
}

/** One order to an endpoint of the play, in the order of acceptance. */
interface PlayedOrder {
  readonly keepsLayers: boolean;
  readonly truncates: boolean;
  /** Whether it was accepted before the end; later ones cannot be its cause. */
  readonly isBeforeEnd: boolean;
  /** Whether this VM has heard of it when it verifies the end. */
  readonly isKnown: boolean;
}

/** Something that happens to an endpoint of the path. */
interface PlayedPart {
  readonly orders: readonly PlayedOrder[];
  /** Orders that were announced and never accepted. */
  readonly announced: number;
  readonly ends: 'no' | 'restarts' | 'leaves';
  /** Whether it ended before the end of the answer or after the first reports. */
  readonly endsBefore: boolean;
  readonly isReached: boolean;
  /** Whether its report shows the state at the end. */
  readonly hasReportOfEnd: boolean;
}

const playedOrder: fc.Arbitrary<PlayedOrder> = fc.record({
  keepsLayers: fc.boolean(),
  truncates: fc.boolean(),
  isBeforeEnd: fc.boolean(),
  isKnown: fc.boolean(),
});
const playedPart: fc.Arbitrary<PlayedPart> = fc.record({
  orders: fc
    .array(playedOrder, {maxLength: 3})
    // Orders are accepted one after the other.
    .map(list =>
      [...list].sort((a, b) => Number(b.isBeforeEnd) - Number(a.isBeforeEnd)),
    ),
  announced: fc.integer({min: 0, max: 2}),
  ends: fc.constantFrom('no', 'no', 'restarts', 'leaves'),
  endsBefore: fc.boolean(),
  isReached: fc.oneof({weight: 5, arbitrary: fc.constant(true)}, fc.boolean()),
  hasReportOfEnd: fc.boolean(),
});

/** Tells whether an order cuts the stream off, if it runs. */
function canCut({keepsLayers, truncates}: PlayedOrder): boolean {
  return truncates && !keepsLayers;
}

function findCause(parts: readonly PlayedPart[], hasCrashed: boolean): Cause {
  if (hasCrashed) return Cause.Crash;
  const isCut = parts.some(({orders}) =>
    orders.some(order => order.isBeforeEnd && canCut(order)),
  );
  if (isCut) return Cause.Cut;
  const isStalled = parts.some(
    ({ends, endsBefore}) => ends !== 'no' && endsBefore,
  );
  return isStalled ? Cause.Stall : Cause.Whole;
}

/** Derives what this VM knows of a part. */
function describePart(part: PlayedPart): StageEvidence {
  const {orders, announced, ends, endsBefore, isReached, hasReportOfEnd} = part;
  const isGone = ends !== 'no' && endsBefore;
  const state = isGone
    ? SourceState.Ended
    : isReached
      ? SourceState.Alive
      : SourceState.Unknown;
  // A part that ends after the first reports gives no other.
  const isOfEnd = hasReportOfEnd && (ends === 'no' || endsBefore);
  const reported = isOfEnd ? orders : [];
  // A later order may load again what an earlier one has given up.
  const hasLayers = reported.at(-1)?.keepsLayers ?? true;
  const held = hasLayers ? layers : undefined;
  const known: KnownOrder[] = [];
  for (const [index, order] of orders.entries()) {
    if (!order.isKnown) continue;
    const range = order.keepsLayers ? kept.range : cut.range;
    const orderCount = index + 2;
    known.push({orderCount, range, cutsRequests: order.truncates});
  }
  for (let index = 0; index < announced; index += 1) {
    known.push({...cut, orderCount: orders.length + 2 + index});
  }
  const report = {orderCount: 1 + reported.length, held, isOfEnd};
  return {
    ...{layers, state, sentAtCount: 1, orders: known},
    report: state === SourceState.Alive ? report : undefined,
  };
}

/** Tells whether this VM can know that no order has cut the stream off. */
function canExclude(part: PlayedPart): boolean {
  const {orders, announced, hasReportOfEnd, ends} = part;
  if (!hasReportOfEnd || ends !== 'no') return announced + orders.length === 0;
  return orders.every(order => order.isKnown && !canCut(order));
}

// A stream that something else than its endpoint has ended is never whole, and one
// that its endpoint has ended is, wherever enough is known.
test('whatever may end a stream, it is whole only if its endpoint has ended it', () => {
  const causes = new Map<Cause, number>();
  const wholes = {accepted: 0};
  fc.assert(
    fc.property(
      playedPart,
      playedPart,
      fc.boolean(),
      fc.integer({min: 0, max: 1400}),
      (first, last, hasCrashed, usualSilence) => {
        const played = [{...first, ends: 'no' as const}, last];
        const cause = findCause(played, hasCrashed);
        // Nothing shows an order of which the VM has not heard, at an endpoint that
        // is gone before its reports show it.
        const isHidden = played.some(
          ({hasReportOfEnd, ends, orders}) =>
            !(hasReportOfEnd && ends === 'no') &&
            orders.some(order => !order.isKnown && order.isBeforeEnd),
        );
        fc.pre(!isHidden);
        causes.set(cause, (causes.get(cause) ?? 0) + 1);
        const parts = played.map(describePart);
        const source = hasCrashed ? SourceState.Ended : SourceState.Alive;
        const verdict = verify({
          source,
          parts,
          silence: {
            milliseconds: usualSilence,
            ...{isOfPath: true, stallMilliseconds},
          },
        });
        const isWhole = verdict === UnframedVerdict.Whole;
        if (cause !== Cause.Whole) assert.equal(isWhole, false, cause);
        const isCertain = played.every(
          part => part.isReached && canExclude(part),
        );
        if (cause === Cause.Whole && isCertain) {
          assert.equal(verdict, UnframedVerdict.Whole);
          wholes.accepted += 1;
        }
      },
    ),
    {seed: 73, numRuns: 20_000},
  );
  for (const cause of Object.values(Cause)) {
    assert.ok((causes.get(cause) ?? 0) > 100, `${cause} was hardly played`);
  }
  assert.ok(wholes.accepted > 100);
});
