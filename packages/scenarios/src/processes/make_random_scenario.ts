import type {Random} from '@zinniaspindle/shared';
import {makeSeededRandom} from '../virtual/seeded_random.js';

const spanMilliseconds = 2500;
const entries = ['a1', 'a2', 'a3'];
const endpoints = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
const callers = ['lens-calls', 'practice'];
const keys = ['k1', 'k2', 'k3'];

/** Faults of stand-ins that last for some time. */
const lastingFaults = [
  'log loses-answers',
  'log hangs',
  'log down',
  'log slow delay=400ms',
  'vm-list down',
  'service orders loses-answers',
  'service orders loses-requests',
  'service orders fails',
  'service orders slow delay=300ms',
  'service orders answers-slowly delay=800ms',
];

/** Faults of one engine; most strike one token. */
const endpointFaults = [
  'freezes for 1s',
  'hangs for 1s',
  'loses-answers for 500ms',
  'forwards-slowly delay=50ms for 1s',
  'skips-layer token=3',
  'drops-token token=4',
  'repeats-token token=2',
  'crosses-token token=5',
  'swaps-receipts token=6',
  'answers-old-attempt token=1',
];

/** Makes the text of a scenario of random work under random faults. */
export function makeRandomScenario(seed: number): string {
  const random = makeSeededRandom(seed);
  const lookup = random() < 0.3;
  const lines = [
    `# seed ${seed}`,
    `fleet entries=${entries.length} vmListLag=500ms lookup=${lookup}`,
    ...makeRequests(random),
    ...makeActions(random),
    ...makePublishes(random),
    ...makeFaults(random),
    'expect every-token once in-order',
  ];
  for (const key of keys) lines.push(`expect orders executed ${key} at-most 1`);
  return `${lines.join('\n')}\n`;
}

function makeRequests(random: Random): string[] {
  const lines: string[] = [];
  for (let number = 1; number <= 4; number += 1) {
    const caller = pickOne(callers, random);
    const tokens = 10 + pickCount(50, random);
    lines.push(
      `${makeAt(random)} caller ${caller} posts tokens=${tokens} within=8s as r${number}`,
    );
  }
  return lines;
}

function makeActions(random: Random): string[] {
  // The first action of each key makes the key known to the expectations.
  const names = [...keys, pickOne(keys, random), pickOne(keys, random)];
  return names.map((key, index) => {
    const via = pickOne(entries, random);
    return `${makeAt(random)} caller practice acts key=${key} via=${via} as a${index}`;
  });
}

function makePublishes(random: Random): string[] {
  const lines: string[] = [];
  for (let number = 1; number <= 2; number += 1) {
    const via = pickOne(entries, random);
    lines.push(
      `${makeAt(random)} operator publishes account practice weight ${number + 1} via=${via} as p${number}`,
    );
  }
  return lines;
}

function makeFaults(random: Random): string[] {
  const lines: string[] = [];
  const standInFaults = 1 + pickCount(2, random);
  for (let number = 0; number < standInFaults; number += 1) {
    const lasts = 300 + pickCount(1500, random);
    const fault = pickOne(lastingFaults, random);
    lines.push(`${makeAt(random)} ${fault} for ${lasts}ms`);
  }
  const endpoint = pickOne(endpoints, random);
  const fault = pickOne(endpointFaults, random);
  lines.push(`${makeAt(random)} endpoint ${endpoint} ${fault}`);
  lines.push(...makeProcessFaults(random));
  return lines;
}

/** Kills, pauses or drains one entry VM, or kills one endpoint, or neither. */
function makeProcessFaults(random: Random): string[] {
  const at = makeAt(random);
  const entry = pickOne(entries, random);
  switch (pickCount(6, random)) {
    case 0:
      return [`${at} kill entry ${entry}`, 'start entry a4'];
    case 1:
      return [
        `${at} pause entry ${entry} for ${500 + pickCount(2000, random)}ms`,
      ];
    case 2:
      return [`${at} start entry a4`, `${at} drain entry ${entry}`];
    case 3:
      return [`${at} kill endpoint ${pickOne(endpoints, random)}`];
    case 4:
      return [`${at} drain endpoint ${pickOne(endpoints, random)}`];
    default:
      return [];
  }
}

function makeAt(random: Random): string {
  return `at ${pickCount(spanMilliseconds, random)}ms`;
}

function pickCount(below: number, random: Random): number {
  return Math.floor(random() * below);
}

function pickOne<T>(items: readonly T[], random: Random): T {
  return items[pickCount(items.length, random)]!;
}
