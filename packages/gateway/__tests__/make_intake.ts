import {
  defaultMemoryMegabytes,
  deriveIntakeLimits,
} from '@zinniaspindle/decisions';
import {Intake} from '../src/intake/intake.js';

/** Makes the intake of a VM, by default of a usual one with 100 places. */
export function makeIntake(
  memoryMegabytes = defaultMemoryMegabytes,
  places = 100,
): Intake {
  return new Intake(deriveIntakeLimits(memoryMegabytes), () => places);
}
