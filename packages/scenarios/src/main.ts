import {Command} from 'commander';
import {describeError} from '@zinniaspindle/shared';
import {runRandomScenario, runScenarioFile} from './processes/run_file.js';
import {renderReport} from './runner/render_report.js';
import type {ScenarioReport} from './runner/run_scenario.js';
import {RunTally} from './runner/run_tally.js';

const tally = new RunTally();

/** Runs one scenario and prints its report, or why it could not be run. */
async function runOne(
  name: string,
  run: () => Promise<ScenarioReport>,
): Promise<void> {
  try {
    const report = await run();
    tally.add(report);
    console.log(renderReport(report));
    if (!report.passed) process.exitCode = 1;
  } catch (error) {
    console.log(`${name}: not run: ${describeError(error)}`);
    process.exitCode = 1;
  }
}

/** Runs scenarios on real processes, one after another. */
const program = new Command('scenarios');

program
  .command('files')
  .description('run scenario files')
  .argument('<files...>', 'scenario files')
  .option('--times <count>', 'runs of each file', '1')
  .action(async (files: string[], options: {times: string}) => {
    for (const file of files) {
      for (let run = 0; run < Number(options.times); run += 1) {
        await runOne(file, () => runScenarioFile(file));
      }
    }
  });

program
  .command('random')
  .description('run random scenarios')
  .option('--seed <number>', 'seed of the first run', '1')
  .option('--runs <count>', 'runs, each with the next seed', '1')
  .action(async (options: {seed: string; runs: string}) => {
    const first = Number(options.seed);
    for (let seed = first; seed < first + Number(options.runs); seed += 1) {
      await runOne(`seed ${seed}`, () => runRandomScenario(seed));
    }
  });

await program.parseAsync();
console.log(tally.render());
