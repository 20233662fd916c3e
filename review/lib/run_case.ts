import process from 'node:process';
import type {Deployment} from './deployment.js';

/** Whether the disruption is on. */
export const hasTrouble = process.env['TROUBLE'] !== '0';

const brokenExitCode = 1;
const failedExitCode = 2;

/** Waits for some milliseconds. */
export function wait(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/**
 * Runs a case and exits: with 1 if the rule was broken, with 0 if it held, and
 * with 2 if the case could not run.
 * @param run gives whether the rule was broken
 */
export async function runCase(
  deployment: Deployment,
  recordFile: string,
  run: () => Promise<boolean>,
): Promise<void> {
  let exitCode = failedExitCode;
  try {
    await deployment.start();
    const isBroken = await run();
    exitCode = isBroken ? brokenExitCode : 0;
  } catch (error) {
    deployment.record(`the case could not run: ${String(error)}`);
  }
  await deployment.close(recordFile);
  process.exit(exitCode);
}
