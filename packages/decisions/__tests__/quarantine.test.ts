import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  closeQuarantine,
  countAnswer,
  createPartEvidence,
  createQuarantine,
  findCulprit,
  formatQuarantine,
  isNewerQuarantine,
  isSuspect,
  isTrialDue,
  matchQuarantine,
  parseQuarantine,
  recordAnswered,
  recordEndpointEnd,
  startTrial,
  type PartEvidence,
} from '../src/quarantine/index.js';

// Times are in milliseconds; each end is at an endpoint of its own.

/** The prompt of each request that broke, and when it was sent. */
type Broken = readonly (readonly [
  parts: string,
  sentAt: number,
  request?: string,
])[];

const comparison = {now: 1000, vms: 10, endpoints: 3};
let requests = 0;

/** Makes evidence of a fleet of 10 VMs that has begun 400 answers. */
function createEvidence(): PartEvidence {
  const evidence = createPartEvidence();
  for (let at = 0; at < 1000; at += 25) countAnswer(evidence, at);
  return evidence;
}

function addEnd(evidence: PartEvidence, endedAt: number, broken: Broken): void {
  const attempts = broken.map(([parts, sentAt, request]) => ({
    request: request ?? `r${(requests += 1)}`,
    traits: parts.split(' '),
    sentAt,
  }));
  const endpoint = `e${endedAt}`;
  recordEndpointEnd(evidence, {endpoint, endedAt, attempts}, endedAt);
}

function findParts(evidence: PartEvidence): string {
  return findCulprit(evidence, comparison)?.parts.join(' ') ?? 'none';
}

test('three ends in sequence under one part are enough', () => {
  const evidence = createEvidence();
  addEnd(evidence, 100, [['a bad', 50]]);
  addEnd(evidence, 200, [['b bad', 150]]);
  assert.equal(findParts(evidence), 'none');
  addEnd(evidence, 300, [['c bad', 250]]);
  assert.equal(findParts(evidence), 'bad');
});

test('one request that ends endpoint after endpoint is not enough', () => {
  const evidence = createEvidence();
  addEnd(evidence, 100, [['bad', 50, 'r']]);
  addEnd(evidence, 200, [['bad', 150, 'r']]);
  addEnd(evidence, 300, [['bad', 250, 'r']]);
  assert.equal(findParts(evidence), 'none');
  assert.equal(isSuspect(evidence, comparison, ['bad', 'x']), true);
  assert.equal(isSuspect(evidence, comparison, ['x']), false);
});

test('an answer clears a part that all share', () => {
  const evidence = createEvidence();
  addEnd(evidence, 100, [['first bad', 50]]);
  recordAnswered(evidence, ['first'], 120);
  addEnd(evidence, 200, [['first bad', 150]]);
  addEnd(evidence, 300, [['first bad', 250]]);
  assert.equal(findParts(evidence), 'bad');
});

test('parts that nothing tells apart are a culprit together only', () => {
  const evidence = createEvidence();
  for (const at of [100, 200, 300]) {
    addEnd(evidence, at, [['rare bad', at - 50]]);
  }
  assert.equal(findParts(evidence), 'bad rare');
  recordAnswered(evidence, ['rare'], 310);
  assert.equal(findParts(evidence), 'bad');
});

test('a sound request of a rare part does not make it the culprit', () => {
  const evidence = createEvidence();
  addEnd(evidence, 100, [
    ['rare bad', 50],
    ['rare', 60],
  ]);
  addEnd(evidence, 200, [['rare bad', 150]]);
  addEnd(evidence, 300, [['rare bad', 250]]);
  assert.equal(findParts(evidence), 'bad rare');
});

test('endpoints that are lost at once count as one end', () => {
  const evidence = createEvidence();
  for (const at of [100, 101, 103, 104, 105]) {
    addEnd(evidence, at, [['first', 50]]);
  }
  assert.equal(findParts(evidence), 'none');
});

test('ends that overlap accuse a part that was never answered on', () => {
  const evidence = createEvidence();
  recordAnswered(evidence, ['first'], 0);
  for (const at of [100, 130, 160]) addEnd(evidence, at, [['first bad', 50]]);
  assert.equal(findParts(evidence), 'bad first');
});

test('ends that overlap accuse no part that is often answered on', () => {
  const evidence = createEvidence();
  recordAnswered(evidence, ['first'], 0);
  for (const at of [100, 130, 160]) addEnd(evidence, at, [['first', 50]]);
  assert.equal(findParts(evidence), 'none');
});

test('two parts that end endpoints are found one after the other', () => {
  const evidence = createEvidence();
  const known: string[][] = [];
  for (let i = 1; i <= 8; i += 1) {
    const part = i % 2 === 0 ? 'bad1' : 'bad2';
    addEnd(evidence, i * 100, [[`s${i} ${part}`, i * 100 - 50]]);
    const culprit = findCulprit(evidence, comparison, known);
    if (culprit !== undefined) known.push([...culprit.parts]);
  }
  assert.deepEqual(known.sort(), [['bad1'], ['bad2']]);
});

test('a known culprit explains the ends of its requests', () => {
  const evidence = createEvidence();
  for (const at of [100, 200, 300, 400]) {
    addEnd(evidence, at, [
      ['bad', at - 50],
      ['rider', at - 40],
    ]);
  }
  assert.equal(findCulprit(evidence, comparison, [['bad']]), undefined);
});

test('the more requests break at once, the more ends are needed', () => {
  const evidence = createEvidence();
  const addFull = (at: number) => {
    const others: Broken = Array.from({length: 7}, (_, i) => [
      `s${at}${i}`,
      at - 60,
    ]);
    addEnd(evidence, at, [['bad', at - 50], ...others]);
  };
  for (const at of [100, 200, 300, 400]) addFull(at);
  assert.equal(findParts(evidence), 'none');
  for (const at of [500, 600]) addFull(at);
  assert.equal(findParts(evidence), 'bad');
});

test('ends that mostly lack a part do not accuse it', () => {
  const evidence = createEvidence();
  for (let i = 1; i <= 40; i += 1) {
    const parts = i % 10 === 0 ? 'unlucky' : `s${i}`;
    addEnd(evidence, i * 100, [[parts, i * 100 - 50]]);
  }
  assert.equal(findParts(evidence), 'none');
});

test('ends accuse nothing where hardly any answer is begun', () => {
  const evidence = createPartEvidence();
  for (const at of [100, 200, 300]) addEnd(evidence, at, [['bad', at - 50]]);
  assert.equal(findParts(evidence), 'none');
});

test('several reports of one end count once', () => {
  const evidence = createEvidence();
  for (let vm = 0; vm < 5; vm += 1) {
    const attempts = [{request: `r${vm}`, traits: ['bad'], sentAt: 50}];
    const end = {endpoint: 'e', endedAt: 100 + vm, attempts};
    recordEndpointEnd(evidence, end, 110);
  }
  assert.equal(evidence.ends.length, 1);
  assert.equal(evidence.ends[0]!.endedAt, 100);
  assert.equal(findParts(evidence), 'none');
});

test('what is kept of ends and answers is bounded', () => {
  const evidence = createEvidence();
  const parts = Array.from({length: 50}, (_, i) => `p${i}`).join(' ');
  for (let at = 100; at < 10_000; at += 100) {
    addEnd(
      evidence,
      at,
      Array.from({length: 100}, () => [parts, at - 50] as const),
    );
  }
  assert.equal(evidence.ends.length, 64);
  for (const {attempts} of evidence.ends) {
    assert.equal(attempts.length, 64);
    assert.equal(attempts[0]!.traits.length, 50);
  }
  const answered = Array.from({length: 5000}, (_, i) => `p${i}`);
  recordAnswered(evidence, answered, 20_000);
  for (const {parts: answeredParts} of Object.values(evidence.answeredAt)) {
    assert.equal(answeredParts.size, 4096);
  }
});

test('the traits that are kept of an end are bounded', () => {
  const evidence = createEvidence();
  const makeParts = (count: number, name: string) =>
    Array.from({length: count}, (_, i) => `${name}${i}`).join(' ');
  addEnd(evidence, 100, [
    [makeParts(1600, 'a'), 50],
    [makeParts(1600, 'b'), 50],
    [makeParts(1600, 'c'), 50],
    [makeParts(1600, 'd'), 50],
  ]);
  const {attempts} = evidence.ends[0]!;
  const counts = attempts.map(({traits}) => traits.length);
  assert.deepEqual(counts, [1600, 1600, 896]);
});

test('a quarantine holds for prompts with all of its parts', () => {
  const quarantine = createQuarantine('s', ['b', 'a'], 0, 0);
  assert.equal(matchQuarantine(quarantine, ['a', 'x', 'b']), true);
  assert.equal(matchQuarantine(quarantine, ['a']), false);
  assert.equal(matchQuarantine(closeQuarantine(quarantine), ['a', 'b']), false);
});

test('a quarantine gets two trials, ever', () => {
  let quarantine = createQuarantine('s', ['a'], 0, 0);
  const startedAt: number[] = [];
  for (let now = 0; now < 4_000_000; now += 1000) {
    if (!isTrialDue(quarantine, now)) continue;
    startedAt.push(now);
    quarantine = startTrial(quarantine, now);
  }
  assert.equal(startedAt.length, 2);
  assert.ok(startedAt[0]! >= 60_000 && startedAt[1]! >= 660_000);
});

test('the later revision of a quarantine holds, and a lifted one among equals', () => {
  const first = createQuarantine('s', ['a'], 0, 0);
  const trial = startTrial(first, 0);
  const lifted = closeQuarantine(first);
  assert.equal(isNewerQuarantine(first, undefined), true);
  assert.equal(isNewerQuarantine(first, first), false);
  assert.equal(isNewerQuarantine(trial, first), true);
  assert.equal(isNewerQuarantine(lifted, trial), true);
  assert.equal(isNewerQuarantine(trial, lifted), false);
});

test('a quarantine survives its row, and a malformed row is no quarantine', () => {
  const quarantine = startTrial(
    startTrial(createQuarantine('s', ['a', 'b'], 5, 7), 9),
    11,
  );
  const row: unknown = JSON.parse(JSON.stringify(formatQuarantine(quarantine)));
  assert.deepEqual(parseQuarantine(row), quarantine);
  for (const malformed of [
    undefined,
    [],
    ['s', [], 1, false, 0, 0, null],
    ['s', [1], 1, false, 0, 0, null],
    ['s', ['a'], 'x', false, 0, 0, null],
    ['s', ['a'], 1, 0, 0, 0, null],
    ['s', ['a'], 1, false, NaN, 0, null],
  ]) {
    assert.equal(parseQuarantine(malformed), undefined);
  }
});

test('many requests at many ends are compared in little time', () => {
  const evidence = createEvidence();
  for (let end = 0; end < 64; end += 1) {
    const broken = Array.from({length: 64}, (_, i) => {
      const digest = `request:${end}-${i}`;
      return [`${digest} ${digest}a shared${i % 20}`, end * 100] as const;
    });
    addEnd(evidence, end * 100 + 50, broken);
  }
  const startedAt = performance.now();
  findCulprit(evidence, {...comparison, now: 6400});
  const milliseconds = performance.now() - startedAt;
  assert.ok(milliseconds < 500, `${milliseconds} ms`);
});
