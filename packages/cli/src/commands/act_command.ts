import type {Command} from 'commander';
import {v7 as makeUuidV7} from 'uuid';
import {fetchJson} from '../entry_client.js';
import {translateLostCall} from '../errors.js';
import {addTargetOptions, readTarget} from '../options.js';
import type {PrintOptions} from '../options.js';
import {printFields} from '../output.js';
import {parseJson} from '../read_json.js';

interface ActOptions extends PrintOptions {
  readonly action: string;
  readonly body: string;
  readonly key?: string;
  readonly repeat?: boolean;
}

/** Adds the command that runs a protected action. */
export function addActCommand(program: Command): void {
  const command = program
    .command('act <service>')
    .description('run a protected action at a service, once')
    .requiredOption('--action <name>', 'action of the service')
    .requiredOption('--body <json>', 'what the action needs, as JSON')
    .option('--key <uuid>', 'idempotency key, a UUIDv7; made when absent')
    .option('--repeat', 'say that this key was asked before');
  addTargetOptions(command).action(runAct);
}

async function runAct(service: string, options: ActOptions): Promise<void> {
  const {action, key = makeUuidV7()} = options;
  const body = {action, body: parseJson('--body', options.body)};
  const headers = {
    'idempotency-key': key,
    ...(options.repeat === true ? {'x-repeat': 'true'} : {}),
  };
  const path = `/v1/services/${encodeURIComponent(service)}/actions`;
  try {
    const call = {method: 'POST', path, headers, body} as const;
    const answer = await fetchJson(readTarget(options), call);
    printFields(options.output, answer as object);
  } catch (error) {
    const advice = `ask again with --key ${key} --repeat`;
    throw translateLostCall(error, advice);
  }
}
