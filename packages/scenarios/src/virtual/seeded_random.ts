import type {Random} from '@zinniaspindle/shared';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const twoToThe32 = 2 ** 32;

/** Makes a reproducible source of numbers in [0, 1). */
export function makeSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / twoToThe32;
}
