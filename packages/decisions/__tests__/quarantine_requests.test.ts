import assert from 'node:assert/strict';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  countAnswer,
  createPartEvidence,
  findCulprit,
  isSuspect,
  recordAnswered,
  recordEndpointEnd,
  requestTraitPrefix,
  type EndedAttempt,
} from '../src/quarantine/index.js';

// Requests of a plain service whose endpoints end at random or under one request.

interface Pattern {
  readonly endpoints: number;
  readonly requestsPerSecond: number;
  /** Share of the requests that are one and the same. */
  readonly frequentShare: number;
  /** Time that an endpoint takes for a request. */
  readonly workMilliseconds: number;
  /** Mean time between ends at random; Infinity for none. */
  readonly endMilliseconds: number;
  /** Endpoints that are lost within 100 ms at each end at random. */
  readonly lostTogether: number;
  /** Requests a second that end endpoints, always the same. */
  readonly fatalPerSecond: number;
  readonly isFatalSafe: boolean;
  readonly awayMilliseconds: number;
}

const calm: Pattern = {
  endpoints: 3,
  requestsPerSecond: 30,
  frequentShare: 0,
  workMilliseconds: 50,
  endMilliseconds: Infinity,
  lostTogether: 1,
  fatalPerSecond: 0,
  isFatalSafe: true,
  awayMilliseconds: 2000,
};

const stepMilliseconds = 5;
const playMilliseconds = 60_000;
const fatalFrom = 5000;
const fatalTrait = `${requestTraitPrefix}fatal`;
const maxAttempts = 2;
const seeds = 40;
const maxFatalEnds = 5;

interface Running extends EndedAttempt {
  readonly endpoint: number;
  readonly isSafe: boolean;
  readonly attempt: number;
}

interface Outcome {
  /** What was accused of the sound requests. */
  readonly blamed: number;
  /** Ends under the fatal request until it was accused, or all of the play. */
  readonly fatalEnds: number;
}

function makeRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

function simulate(pattern: Pattern, seed: number): Outcome {
  const random = makeRandom(seed);
  const evidence = createPartEvidence();
  const awayUntil = Array<number>(pattern.endpoints).fill(0);
  const losses: number[] = [];
  const known: string[][] = [];
  let running: Running[] = [];
  let requests = 0;
  let fatalEnds = 0;
  let blamed = 0;
  const isDue = (perSecond: number) =>
    random() < (perSecond * stepMilliseconds) / 1000;
  const makeComparison = (now: number) => ({
    now,
    vms: 1,
    endpoints: pattern.endpoints,
  });
  const send = (one: Omit<Running, 'endpoint' | 'sentAt'>, now: number) => {
    if (known.some(([trait]) => one.traits.includes(trait!))) return;
    const up = [...awayUntil.keys()].filter(at => awayUntil[at]! <= now);
    if (up.length === 0) return;
    const endpoint = up[Math.floor(random() * up.length)]!;
    running.push({...one, endpoint, sentAt: now});
  };
  for (let now = 0; now < playMilliseconds; now += stepMilliseconds) {
    if (isDue(pattern.requestsPerSecond)) {
      const request = `r${(requests += 1)}`;
      const isFrequent = random() < pattern.frequentShare;
      const trait = `${requestTraitPrefix}${isFrequent ? 'often' : request}`;
      const isSafe = random() < 0.5;
      send({request, traits: [trait], isSafe, attempt: 1}, now);
    }
    if (now >= fatalFrom && isDue(pattern.fatalPerSecond)) {
      const request = `f${(requests += 1)}`;
      const isSafe = pattern.isFatalSafe;
      send({request, traits: [fatalTrait], isSafe, attempt: 1}, now);
    }
    const ending = new Set<number>();
    for (const one of running) {
      if (now - one.sentAt < pattern.workMilliseconds) continue;
      if (one.traits[0] === fatalTrait) ending.add(one.endpoint);
      else {
        recordAnswered(evidence, one.traits, now);
        countAnswer(evidence, now);
      }
    }
    running = running.filter(
      ({sentAt, endpoint}) =>
        now - sentAt < pattern.workMilliseconds || ending.has(endpoint),
    );
    if (isDue(1000 / pattern.endMilliseconds)) {
      for (let i = 0; i < pattern.lostTogether; i += 1) {
        losses.push(now + random() * 100);
      }
    }
    while (losses.length > 0 && Math.min(...losses) <= now) {
      losses.splice(losses.indexOf(Math.min(...losses)), 1);
      const up = [...awayUntil.keys()].filter(at => awayUntil[at]! <= now);
      const lost = up[Math.floor(random() * up.length)];
      if (lost !== undefined) ending.add(lost);
    }
    for (const endpoint of ending) {
      const attempts = running.filter(one => one.endpoint === endpoint);
      running = running.filter(one => one.endpoint !== endpoint);
      awayUntil[endpoint] = now + pattern.awayMilliseconds;
      if (attempts.length === 0) continue;
      if (attempts.some(({traits}) => traits[0] === fatalTrait)) fatalEnds += 1;
      const retried = attempts.filter(
        ({isSafe, attempt, traits}) =>
          isSafe &&
          attempt < maxAttempts &&
          !isSuspect(evidence, makeComparison(now), traits),
      );
      const end = {endpoint: `${endpoint}@${now}`, endedAt: now, attempts};
      recordEndpointEnd(evidence, end, now);
      for (const one of retried) send({...one, attempt: 2}, now);
    }
    if (ending.size === 0) continue;
    const culprit = findCulprit(evidence, makeComparison(now), known);
    if (culprit === undefined) continue;
    known.push([...culprit.parts]);
    if (culprit.parts.includes(fatalTrait)) return {blamed, fatalEnds};
    blamed += 1;
  }
  return {blamed, fatalEnds};
}

function countBlamed(pattern: Pattern): number {
  let blamed = 0;
  for (let seed = 1; seed <= seeds; seed += 1) {
    blamed += simulate(pattern, seed).blamed;
  }
  return blamed;
}

for (const [name, pattern] of [
  ['ends at random', {...calm, endMilliseconds: 2000}],
  ['frequent ends', {...calm, endMilliseconds: 500, awayMilliseconds: 1000}],
  ['slow endpoints', {...calm, endMilliseconds: 2000, workMilliseconds: 600}],
  [
    'one frequent request',
    {...calm, endMilliseconds: 2000, frequentShare: 0.5},
  ],
  ['losses together', {...calm, endMilliseconds: 6000, lostTogether: 3}],
  [
    'losses together under one frequent request',
    {...calm, endMilliseconds: 6000, lostTogether: 3, frequentShare: 0.5},
  ],
] as const) {
  test(`no sound request is blamed: ${name}`, () => {
    assert.equal(countBlamed(pattern), 0);
  });
}

for (const [name, pattern] of [
  ['safe', calm],
  ['unsafe', {...calm, isFatalSafe: false}],
  ['beside ends at random', {...calm, endMilliseconds: 4000}],
  ['alone', {...calm, requestsPerSecond: 0.1}],
  ['beside slow requests', {...calm, workMilliseconds: 300}],
  ['on many endpoints', {...calm, endpoints: 40, requestsPerSecond: 400}],
] as const) {
  test(`a request that ends endpoints is found: ${name}`, () => {
    for (let seed = 1; seed <= seeds; seed += 1) {
      const {fatalEnds} = simulate({...pattern, fatalPerSecond: 2}, seed);
      assert.ok(fatalEnds <= maxFatalEnds, `seed ${seed}: ${fatalEnds} ends`);
    }
  });
}
