import {readSettings, runEntryVm} from '@zinniaspindle/router';
import type {Settings} from '@zinniaspindle/router';
import type {Command} from 'commander';
import {CliError, CliErrorCode} from '../errors.js';
import {waitForOutput} from '../output.js';
import {readTextFile} from '../read_json.js';

/** Time for the log to be written out after a stop. */
const closeOutputMilliseconds = 2000;

interface RunOptions {
  readonly settings: string;
}

/** Adds the command that runs an entry VM. */
export function addRunCommand(program: Command): void {
  program
    .command('run')
    .description('run an entry VM until it is told to stop')
    .requiredOption('--settings <file>', 'settings file in INI form')
    .action(async (options: RunOptions) => {
      await runEntryVm(loadSettings(options.settings));
      // Lines that nobody reads would keep the process alive.
      const deadline = Date.now() + closeOutputMilliseconds;
      if (!(await waitForOutput(deadline))) process.exit();
    });
}

/** Adds the command that checks a settings file. */
export function addCheckCommand(program: Command): void {
  program
    .command('check')
    .description('check a settings file and name every fault in it')
    .requiredOption('--settings <file>', 'settings file in INI form')
    .action((options: RunOptions) => {
      loadSettings(options.settings);
      console.log(`${options.settings}: no faults`);
    });
}

function loadSettings(file: string): Settings {
  const settings = readSettings(readTextFile(file));
  if (settings.isOk) return settings.value;
  throw new CliError(
    CliErrorCode.BadSettings,
    `${file} has ${settings.error.faults.length} faults:\n${settings.error.message}`,
    'correct them and run "zinniaspindle check" again',
  );
}
