import type {HistoryEntry, RevisedObject} from '@zinniaspindle/decisions';
import type {Command} from 'commander';
import {fetchJson} from '../entry_client.js';
import {CliError, CliErrorCode} from '../errors.js';
import {addTargetOptions, readTarget} from '../options.js';
import type {PrintOptions} from '../options.js';
import {printFields, printRows} from '../output.js';

interface ObjectsAnswer {
  readonly objects: readonly RevisedObject[];
}

interface HistoryAnswer {
  readonly changes: readonly HistoryEntry[];
}

/** Adds the command that shows configuration objects. */
export function addGetCommand(program: Command): void {
  const command = program
    .command('get [kind] [name]')
    .description('list configuration objects, or show one');
  addTargetOptions(command).action(runGet);
}

/** Adds the command that shows the changes of an object. */
export function addHistoryCommand(program: Command): void {
  const command = program
    .command('history <kind> <name>')
    .description('list the last changes of a configuration object');
  addTargetOptions(command).action(runHistory);
}

async function runGet(
  kind: string | undefined,
  name: string | undefined,
  options: PrintOptions,
): Promise<void> {
  const path = formatObjectsPath(kind, name);
  const answer = await fetchJson(readTarget(options), {method: 'GET', path});
  if (name !== undefined) return printFields(options.output, answer as object);
  const {objects} = answer as ObjectsAnswer;
  const rows = objects.map(({revision, object}) => ({
    kind: object.kind,
    name: object.name,
    revision,
  }));
  printRows(options.output, answer, rows);
}

async function runHistory(
  kind: string,
  name: string,
  options: PrintOptions,
): Promise<void> {
  const path = `${formatObjectsPath(kind, name)}/history`;
  const answer = await fetchJson(readTarget(options), {method: 'GET', path});
  printRows(options.output, answer, (answer as HistoryAnswer).changes);
}

function formatObjectsPath(kind?: string, name?: string): string {
  if (kind === undefined) return '/v1/objects';
  const kindText = encodeURIComponent(kind);
  if (name === undefined) return `/v1/objects?kind=${kindText}`;
  if (name !== '') return `/v1/objects/${kindText}/${encodeURIComponent(name)}`;
  throw new CliError(
    CliErrorCode.BadArgument,
    'the name of the object is empty',
    'give a name, or leave it out to list the kind',
  );
}
