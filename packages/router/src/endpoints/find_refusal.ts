import {EngineRefusal} from '@zinniaspindle/shared';
import type {EngineProblem} from '@zinniaspindle/shared';

/** Finds the reason that an engine's answer gives, among those that count. */
export function findRefusal(
  problem: EngineProblem | undefined,
  counted: readonly EngineRefusal[] = Object.values(EngineRefusal),
): EngineRefusal | undefined {
  return counted.find(reason => reason === problem?.reason);
}
