import {Command} from 'commander';
import packageFile from '../package.json' with {type: 'json'};
import {addActCommand} from './commands/act_command.js';
import {addDemoCommand} from './commands/demo_command.js';
import {addGetCommand, addHistoryCommand} from './commands/object_commands.js';
import {
  addFateCommand,
  addPublishCommand,
} from './commands/publish_commands.js';
import {addRequestCommand} from './commands/request_command.js';
import {addCheckCommand, addRunCommand} from './commands/run_command.js';
import {
  addDrainCommand,
  addEntriesCommand,
  addExplainCommand,
  addStatusCommand,
} from './commands/vm_commands.js';
import {CliError, exitCodes} from './errors.js';

const exitCodeHelp = `
Exit codes:
  0  done
  2  wrong arguments, or a file that cannot be read
  3  a settings file with faults
  4  the entry VM cannot be reached
  5  the entry VM refused
  6  the outcome is unknown: look before you send it again`;

/** Adds a command to the command line. */
type AddCommand = (program: Command) => void;

const addCommands: readonly AddCommand[] = [
  ...[addRunCommand, addCheckCommand, addDemoCommand],
  ...[addPublishCommand, addFateCommand, addGetCommand, addHistoryCommand],
  ...[addRequestCommand, addActCommand, addExplainCommand],
  ...[addEntriesCommand, addStatusCommand, addDrainCommand],
];

/** Builds the command line. */
export function buildProgram(): Command {
  const program = new Command('zinniaspindle')
    .description('route model pipelines and protected actions')
    .version(packageFile.version)
    .showHelpAfterError()
    .addHelpText('after', exitCodeHelp)
    .exitOverride();
  for (const addCommand of addCommands) addCommand(program);
  return program;
}

/** Runs the command line and sets the exit code of the process. */
export async function runCli(argv: readonly string[]): Promise<void> {
  try {
    await buildProgram().parseAsync(argv);
  } catch (error) {
    process.exitCode = reportError(error);
  }
}

function reportError(error: unknown): number {
  if (error instanceof CliError) {
    console.error(`error: ${error.message}\nto do: ${error.advice}`);
    return exitCodes[error.code];
  }
  // Commander has printed its own message already.
  const exitCode = (error as {exitCode?: number}).exitCode;
  if (typeof exitCode === 'number') return exitCode === 0 ? 0 : 2;
  throw error;
}
