import {readFileSync} from 'node:fs';
import {Option} from 'commander';
import type {Command} from 'commander';
import type {EntryTarget} from './entry_client.js';
import {CliError, CliErrorCode} from './errors.js';
import {OutputFormat} from './output.js';

/** Options of every command that calls an entry VM. */
export interface TargetOptions {
  readonly entry: string;
  readonly tokenFile?: string;
}

/** Options of a command that prints what an entry VM answers. */
export interface PrintOptions extends TargetOptions {
  readonly output: OutputFormat;
}

const entryVariable = 'ZINNIASPINDLE_ENTRY';
const tokenVariable = 'ZINNIASPINDLE_TOKEN';

/** Adds the options that say which entry VM to call, and as whom. */
export function addTargetOptions(command: Command): Command {
  const formats = Object.values(OutputFormat);
  return command
    .addOption(
      new Option('--entry <host:port>', 'entry VM to call')
        .env(entryVariable)
        .makeOptionMandatory(),
    )
    .option(
      '--token-file <file>',
      `file with the bearer token; else $${tokenVariable}`,
    )
    .addOption(
      new Option('--output <format>', 'form of the output')
        .choices(formats)
        .default(OutputFormat.Text),
    );
}

/** Reads the entry VM and token from options and the environment. */
export function readTarget(options: TargetOptions): EntryTarget {
  const token = readToken(options.tokenFile);
  const {entry} = options;
  return token === undefined ? {entry} : {entry, token};
}

function readToken(file: string | undefined): string | undefined {
  if (file === undefined) return process.env[tokenVariable];
  try {
    return readFileSync(file, 'utf8').trim();
  } catch {
    throw new CliError(
      CliErrorCode.BadArgument,
      `token file "${file}" cannot be read`,
      `name a readable file, or set $${tokenVariable}`,
    );
  }
}
