import {
  ActionInputKind,
  createActionsState,
  decideActions,
  decodeRecord,
  encodeRecord,
  RecordKind,
  type ActionInput,
  type ClaimRecord,
  type LogRecord,
  type OutcomeRecord,
  type CommittedRecord,
} from '@zinniaspindle/decisions';
import {toId, type ActionKey} from '@zinniaspindle/shared';

const start = 1_700_000_000_000;
const claimCount = 200_000;
const batchCount = 10_000;
const digest = 'd'.repeat(64);
const getHalf = () => 0.5;

/**
 * Measures the fold of claims and outcomes, the memory that the window keeps
 * for each claim, the time of a tick, and the size of the records:
 * `node --expose-gc --import tsx packages/scenarios/bench/claims_bench.ts`.
 */
function runClaimsBench(): void {
  const state = createActionsState({
    writer: toId('vm-1-1700000000000'),
    retentionMilliseconds: 6 * 3_600_000,
    maxKeySkewMilliseconds: 60_000,
    retryMilliseconds: 500,
    lookupMilliseconds: 500,
    resubmitMilliseconds: 1000,
    maxCallsPerService: 64,
    maxAttemptsPerService: 1024,
  });
  const apply = (input: ActionInput, now: number) => {
    const step = decideActions(state, input, now, getHalf);
    if (step.isErr) throw step.error;
  };
  const heapBefore = measureHeap();
  let foldMilliseconds = 0;
  for (let first = 0; first < claimCount; first += batchCount) {
    const records = makeRecords(first);
    const startedAt = performance.now();
    for (const record of records) {
      apply({kind: ActionInputKind.Folded, record}, record.time);
    }
    foldMilliseconds += performance.now() - startedAt;
  }
  const heap = measureHeap() - heapBefore;
  const now = start + claimCount;
  const ticks = 10_000;
  const ticksStartedAt = performance.now();
  for (let i = 0; i < ticks; i += 1) apply({kind: ActionInputKind.Tick}, now);
  const tickMilliseconds = performance.now() - ticksStartedAt;
  const perAction = (foldMilliseconds * 1000) / claimCount;
  console.log(`claims in the window: ${state.claims.size}`);
  console.log(`fold of claim and outcome: ${perAction.toFixed(2)} µs`);
  console.log(`memory of a claim: ${(heap / claimCount).toFixed(0)} bytes`);
  console.log(`tick: ${((tickMilliseconds * 1000) / ticks).toFixed(2)} µs`);
  const claimBytes = encodeRecord(makeClaim(1, start)).length;
  const outcomeBytes = encodeRecord(makeOutcome(1, start)).length;
  console.log(`records: claim ${claimBytes}, outcome ${outcomeBytes} bytes`);
}

/** Makes the claims and outcomes of one batch, as read from the log. */
function makeRecords(first: number): CommittedRecord[] {
  const records: CommittedRecord[] = [];
  for (let i = first; i < first + batchCount; i += 1) {
    const time = start + i;
    for (const record of [makeClaim(i, time), makeOutcome(i, time)]) {
      const data = encodeRecord(record);
      const decoded = decodeRecord({offset: record.sequence, time, data});
      if (decoded.isErr) throw decoded.error;
      records.push(decoded.value);
    }
  }
  return records;
}

function measureHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function makeKey(number: number, time: number): ActionKey {
  const head = time.toString(16).padStart(12, '0');
  const tail = number.toString(16).padStart(12, '0');
  return toId(`${head.slice(0, 8)}-${head.slice(8)}-7000-8000-${tail}`);
}

function makeClaim(number: number, time: number): LogRecord {
  const body: ClaimRecord = {
    kind: RecordKind.Claim,
    account: toId('lens-calls'),
    key: makeKey(number, time),
    service: toId('orders'),
    // As decoded from the log: each record has a text of its own.
    digest: `${digest.slice(8)}${number.toString(16).padStart(8, '0')}`,
    attempt: number,
  };
  return {writer: toId('vm-2-1700000000000'), sequence: 2 * number, body};
}

function makeOutcome(number: number, time: number): LogRecord {
  const body: OutcomeRecord = {
    kind: RecordKind.Outcome,
    account: toId('lens-calls'),
    key: makeKey(number, time),
    claim: 2 * number,
    result: `{"order":"${number}"}`,
  };
  return {writer: toId('vm-2-1700000000000'), sequence: 2 * number + 1, body};
}

runClaimsBench();
