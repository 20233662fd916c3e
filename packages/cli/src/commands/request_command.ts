import {RequestOutcomeKind, sendRequest} from '../send_request.js';
import type {Command} from 'commander';
import {makeRefusedError} from '../entry_client.js';
import {addTargetOptions, readTarget} from '../options.js';
import type {TargetOptions} from '../options.js';
import {OutputFormat, printJson} from '../output.js';

interface RequestOptions extends TargetOptions {
  readonly prompt: string;
  readonly tokens?: string;
  readonly id?: string;
  readonly deadline?: string;
  readonly output: OutputFormat;
}

/** Adds the command that sends a request and streams its answer. */
export function addRequestCommand(program: Command): void {
  const command = program
    .command('request <pipeline>')
    .description('send a request to a pipeline and stream the answer')
    .requiredOption('--prompt <text>', 'what to generate from')
    .option('--tokens <n>', 'most tokens to generate')
    .option('--id <id>', 'request id; made when absent')
    .option('--deadline <time>', 'RFC 3339 time by which the answer is wanted');
  addTargetOptions(command).action(runRequest);
}

async function runRequest(
  pipeline: string,
  options: RequestOptions,
): Promise<void> {
  const isText = options.output === OutputFormat.Text;
  const outcome = await sendRequest(
    readTarget(options),
    {
      pipeline,
      prompt: options.prompt,
      ...(options.tokens === undefined
        ? {}
        : {maxTokens: Number(options.tokens)}),
      ...(options.id === undefined ? {} : {id: options.id}),
      ...(options.deadline === undefined ? {} : {deadline: options.deadline}),
    },
    text => {
      if (isText) process.stdout.write(text);
    },
  );
  if (isText) process.stdout.write('\n');
  if (outcome.kind === RequestOutcomeKind.Problem) {
    throw makeRefusedError(outcome.problem);
  }
  if (!isText) printJson({...outcome.end, text: outcome.text});
}
