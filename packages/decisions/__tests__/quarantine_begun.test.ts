import assert from 'node:assert/strict';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  AnswerStage,
  countAnswer,
  createPartEvidence,
  findCulprit,
  isSuspect,
  lastingMilliseconds,
  recordAnswered,
  recordEndpointEnd,
  type EndedAttempt,
} from '../src/quarantine/index.js';

// Streams in virtual time, some of which break with their endpoints after they have
// begun and go on at another one. Guards against a fatal part that is never found, and
// against sound ones that are blamed.

interface Pattern {
  readonly endpoints: number;
  readonly requestsPerSecond: number;
  /** Parts of which each prompt has one. */
  readonly parts: number;
  /** Time from sending to the first event. */
  readonly firstEventMilliseconds: number;
  /** Time from the first event to the last one. */
  readonly streamMilliseconds: number;
  /** Mean time between ends at random; Infinity for none. */
  readonly endMilliseconds: number;
  /** Endpoints that end one after another each time. */
  readonly burst: number;
  readonly burstGapMilliseconds: number;
  readonly awayMilliseconds: number;
  /** Share of the streams that end their endpoint, whatever they hold. */
  readonly crashingShare: number;
  /** Requests a second with a part that ends endpoints. */
  readonly fatalPerSecond: number;
  /** Time from the first event of those to the end. */
  readonly fatalMilliseconds: number;
  readonly seconds: number;
}

const calm: Pattern = {
  endpoints: 8,
  requestsPerSecond: 30,
  parts: 60,
  firstEventMilliseconds: 0,
  streamMilliseconds: 2000,
  endMilliseconds: Infinity,
  burst: 1,
  burstGapMilliseconds: 0,
  awayMilliseconds: 2500,
  crashingShare: 0,
  fatalPerSecond: 0,
  fatalMilliseconds: 40,
  seconds: 60,
};

const stepMilliseconds = 5;
const fatalFrom = 10_000;
const maxEnds = 5;
const boundMilliseconds = 3000;
/** Fatal requests that may reach endpoints later than that. */
const maxLate = 3;
const clearMilliseconds = 100;

interface Outcome {
  readonly parts: readonly string[];
  /** Fatal requests that reached endpoints later than the bound after the fifth end. */
  readonly late: number;
}

interface Running extends EndedAttempt {
  readonly endpoint: number;
  readonly isFatal: boolean;
  /** Time from the first event to the end that it causes; Infinity for none. */
  readonly crashMilliseconds: number;
  readonly sentAt: number;
  hasBegun: boolean;
}

function simulate(pattern: Pattern, seed: number): Outcome {
  const generator = xoroshiro128plus(seed);
  const sample = () => (generator.next() >>> 0) / 2 ** 32;
  const pick = (count: number) => Math.floor(sample() * count);
  const evidence = createPartEvidence();
  const awayUntil = Array<number>(pattern.endpoints).fill(0);
  const due: number[] = [];
  let running: Running[] = [];
  let sent = 0;
  let ends = 0;
  let fifthAt = Infinity;
  let late = 0;
  const isDue = (perSecond: number) =>
    sample() < (perSecond * stepMilliseconds) / 1000;
  for (let now = 0; now < pattern.seconds * 1000; now += stepMilliseconds) {
    const listUp = () =>
      [...awayUntil.keys()].filter(one => awayUntil[one]! <= now);
    const start = (isFatal: boolean, request: string, traits: string[]) => {
      const up = listUp();
      if (up.length === 0) return;
      if (isFatal && now > fifthAt + boundMilliseconds) late += 1;
      const crashes = isFatal || sample() < pattern.crashingShare;
      running.push({
        ...{isFatal, request, traits, sentAt: now, hasBegun: false},
        endpoint: up[pick(up.length)]!,
        crashMilliseconds: crashes ? pattern.fatalMilliseconds : Infinity,
      });
    };
    const send = (isFatal: boolean) => {
      sent += 1;
      const traits = [`request:${sent}`, 'first', `p${pick(pattern.parts)}`];
      start(isFatal, `r${sent}`, isFatal ? [...traits, 'bad'] : traits);
    };
    if (isDue(pattern.requestsPerSecond)) send(false);
    if (now >= fatalFrom && isDue(pattern.fatalPerSecond)) send(true);
    const ending = new Set<number>();
    for (const one of running) {
      const begunFor = now - one.sentAt - pattern.firstEventMilliseconds;
      if (begunFor < 0) continue;
      if (!one.hasBegun) {
        one.hasBegun = true;
        countAnswer(evidence, now);
        recordAnswered(evidence, one.traits, now, AnswerStage.Begun);
      }
      if (begunFor >= one.crashMilliseconds) ending.add(one.endpoint);
      const isLasting =
        begunFor >= lastingMilliseconds && begunFor % clearMilliseconds === 0;
      const isWhole = begunFor >= pattern.streamMilliseconds;
      if (isLasting || isWhole) recordAnswered(evidence, one.traits, now);
    }
    running = running.filter(
      one =>
        now - one.sentAt - pattern.firstEventMilliseconds <
        pattern.streamMilliseconds,
    );
    if (isDue(1000 / pattern.endMilliseconds)) {
      for (let i = 0; i < pattern.burst; i += 1) {
        due.push(now + i * pattern.burstGapMilliseconds);
      }
    }
    while ((due[0] ?? Infinity) <= now) {
      due.shift();
      const up = listUp().filter(one => !ending.has(one));
      if (up.length > 0) ending.add(up[pick(up.length)]!);
    }
    if (ending.size === 0) continue;
    const broken: Running[] = [];
    for (const endpoint of ending) {
      awayUntil[endpoint] = now + pattern.awayMilliseconds;
      const there = running.filter(one => one.endpoint === endpoint);
      broken.push(...there);
      if (there.some(one => one.isFatal)) ends += 1;
      if (ends >= maxEnds) fifthAt = Math.min(fifthAt, now);
      const attempts = there.filter(
        one =>
          now - one.sentAt - pattern.firstEventMilliseconds <
          lastingMilliseconds,
      );
      if (attempts.length === 0) continue;
      const id = `${endpoint}@${now}`;
      recordEndpointEnd(
        evidence,
        {endpoint: id, endedAt: now, attempts: attempts.map(one => ({...one}))},
        now,
      );
    }
    running = running.filter(one => !ending.has(one.endpoint));
    const comparison = {now, vms: 1, endpoints: listUp().length};
    for (const {isFatal, request, traits} of broken) {
      // A stream that one more end would accuse does not go on.
      if (isSuspect(evidence, comparison, traits)) continue;
      start(isFatal, request, [...traits]);
    }
    const culprit = findCulprit(evidence, comparison);
    if (culprit !== undefined) {
      return {parts: culprit.parts, late};
    }
  }
  return {parts: [], late};
}

const seeds = 40;

/** Patterns in which nothing of a request ends endpoints. */
const sound: Readonly<Record<string, Pattern>> = {
  'ends at random': {...calm, endMilliseconds: 1000},
  'ends at random with rare parts': {
    ...{...calm, parts: 2000, endMilliseconds: 500},
  },
  'bursts of ends': {
    ...{...calm, endMilliseconds: 6000, burst: 5, burstGapMilliseconds: 30},
  },
  'slow bursts of ends': {
    ...{...calm, endMilliseconds: 6000, burst: 5, burstGapMilliseconds: 400},
  },
  'restarts of all endpoints in turn': {
    ...{...calm, endMilliseconds: 15_000, burst: 8},
    ...{burstGapMilliseconds: 1000, awayMilliseconds: 900},
  },
  'streams that crash by chance': {...calm, crashingShare: 0.02},
  'short streams that crash by chance': {
    ...{...calm, crashingShare: 0.02, streamMilliseconds: 100},
  },
};

for (const [name, pattern] of Object.entries(sound)) {
  test(`${name} blame no part of streams that have begun`, () => {
    const blamed: string[] = [];
    for (let seed = 1; seed <= seeds; seed += 1) {
      const {parts} = simulate(pattern, seed);
      if (parts.length > 0) blamed.push(`${seed}: ${parts.join(' ')}`);
    }
    assert.deepEqual(blamed, []);
  });
}

const fatal = {...calm, fatalPerSecond: 2.5};
/** Patterns with a part that ends endpoints after the first event. */
const fatalPatterns: Readonly<Record<string, Pattern>> = {
  'short streams': {...fatal, streamMilliseconds: 100},
  'long streams': fatal,
  'many endpoints': {...fatal, endpoints: 38, requestsPerSecond: 40},
  'a crash some events later': {...fatal, fatalMilliseconds: 150},
  'ends at random': {...fatal, endpoints: 20, endMilliseconds: 3000},
};

for (const [name, pattern] of Object.entries(fatalPatterns)) {
  test(`a part that ends endpoints after the first event is found beside ${name}`, () => {
    const missed: string[] = [];
    for (let seed = 1; seed <= seeds; seed += 1) {
      const {parts, late} = simulate(pattern, seed);
      const isFound = parts.includes('bad') && late <= maxLate;
      if (!isFound) missed.push(`${seed}: ${parts.join(' ')} ${late}`);
    }
    assert.deepEqual(missed, []);
  });
}
