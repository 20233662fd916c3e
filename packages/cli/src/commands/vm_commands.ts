import type {EntriesResponse} from '@zinniaspindle/decisions';
import type {Command} from 'commander';
import {fetchJson} from '../entry_client.js';
import type {EntryCall} from '../entry_client.js';
import {addTargetOptions, readTarget} from '../options.js';
import type {PrintOptions} from '../options.js';
import {printFields, printRows} from '../output.js';

interface EntriesOptions extends PrintOptions {
  readonly dataCentre?: string;
}

interface ExplainAnswer {
  readonly decisions: readonly object[];
}

/** Adds the command that stops an entry VM as planned. */
export function addDrainCommand(program: Command): void {
  const command = program
    .command('drain')
    .description('ask the entry VM to hand its work over and stop');
  addTargetOptions(command).action((options: PrintOptions) =>
    printCall(options, {method: 'POST', path: '/v1/drain'}),
  );
}

/** Adds the command that shows the status of an entry VM. */
export function addStatusCommand(program: Command): void {
  const command = program
    .command('status')
    .description('show the status of the entry VM');
  addTargetOptions(command).action((options: PrintOptions) =>
    printCall(options, {method: 'GET', path: '/v1/status'}),
  );
}

/** Adds the command that tells why a request went as it did. */
export function addExplainCommand(program: Command): void {
  const command = program
    .command('explain <request>')
    .description('list what the entry VM decided on a request, and why');
  addTargetOptions(command).action(runExplain);
}

/** Adds the command that lists entry VMs. */
export function addEntriesCommand(program: Command): void {
  const command = program
    .command('entries')
    .description('list the entry VMs to call, the best first')
    .option('--data-centre <id>', 'data centre of the caller');
  addTargetOptions(command).action(runEntries);
}

async function printCall(
  options: PrintOptions,
  call: EntryCall,
): Promise<void> {
  const answer = await fetchJson(readTarget(options), call);
  printFields(options.output, answer as object);
}

async function runExplain(id: string, options: PrintOptions): Promise<void> {
  const path = `/v1/explain/${encodeURIComponent(id)}`;
  const answer = await fetchJson(readTarget(options), {method: 'GET', path});
  printRows(options.output, answer, (answer as ExplainAnswer).decisions);
}

async function runEntries(options: EntriesOptions): Promise<void> {
  const {dataCentre} = options;
  const query =
    dataCentre === undefined
      ? ''
      : `?dataCentre=${encodeURIComponent(dataCentre)}`;
  const path = `/v1/entries${query}`;
  const answer = await fetchJson(readTarget(options), {method: 'GET', path});
  printRows(options.output, answer, (answer as EntriesResponse).entries);
}
