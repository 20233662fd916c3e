import {PublishAnswer} from '@zinniaspindle/decisions';
import type {
  ObjectChange,
  PublishReport,
  RevisedObject,
} from '@zinniaspindle/decisions';
import {formatObjectKey} from '@zinniaspindle/shared';
import type {ConfigObject, Problem} from '@zinniaspindle/shared';
import type {Command} from 'commander';
import {v7 as makeUuidV7} from 'uuid';
import {
  fetchJson,
  makeRefusedError,
  openCall,
  readText,
} from '../entry_client.js';
import type {EntryTarget} from '../entry_client.js';
import {CliError, CliErrorCode, translateLostCall} from '../errors.js';
import {addTargetOptions, readTarget} from '../options.js';
import type {PrintOptions} from '../options.js';
import {printFields} from '../output.js';
import {readJsonFile} from '../read_json.js';

interface PublishOptions extends PrintOptions {
  readonly file: string;
}

interface PublishBody {
  readonly publish?: string;
  readonly changes: readonly ObjectChange[];
}

/** Adds the command that publishes configuration. */
export function addPublishCommand(program: Command): void {
  const command = program
    .command('publish')
    .description('change configuration objects, all of them or none')
    .requiredOption(
      '--file <file>',
      'JSON: a list of objects, or {publish?, changes: [{key, base, object?}]}',
    );
  addTargetOptions(command).action(runPublish);
}

/** Adds the command that tells what became of a publish. */
export function addFateCommand(program: Command): void {
  const command = program
    .command('fate <publish>')
    .description('tell what became of a publish');
  addTargetOptions(command).action(
    async (publish: string, options: PrintOptions) => {
      const path = `/v1/publishes/${encodeURIComponent(publish)}`;
      const call = {method: 'GET', path} as const;
      const answer = await fetchJson(readTarget(options), call);
      printFields(options.output, answer as object);
    },
  );
}

async function runPublish(options: PublishOptions): Promise<void> {
  const target = readTarget(options);
  const content = readJsonFile(options.file);
  const body = Array.isArray(content)
    ? {changes: await listChanges(target, content as ConfigObject[])}
    : (content as PublishBody);
  const publish = makeUuidV7();
  const report = await sendPublish(target, {publish, ...body});
  if (report.answer !== PublishAnswer.Accepted) throw makeReportError(report);
  printFields(options.output, report);
}

/** Bases each change on the revision in force. */
async function listChanges(
  target: EntryTarget,
  objects: readonly ConfigObject[],
): Promise<ObjectChange[]> {
  const call = {method: 'GET', path: '/v1/objects'} as const;
  const answer = await fetchJson(target, call);
  const revisions = new Map<string, RevisedObject['revision']>();
  const current = answer as {objects: readonly RevisedObject[]};
  for (const {object, revision} of current.objects) {
    revisions.set(formatObjectKey(object), revision);
  }
  return objects.map(object => ({
    key: {kind: object.kind, name: object.name},
    base: revisions.get(formatObjectKey(object)) ?? -1,
    object,
  }));
}

async function sendPublish(
  target: EntryTarget,
  body: PublishBody & {readonly publish: string},
): Promise<PublishReport> {
  const call = {method: 'POST', path: '/v1/publishes', body} as const;
  try {
    const response = await openCall(target, call);
    const answer: unknown = JSON.parse(await readText(response));
    // A publish that is refused is answered with a report too.
    if ('faults' in (answer as object)) return answer as PublishReport;
    throw makeRefusedError(answer as Problem);
  } catch (error) {
    const advice = `ask "zinniaspindle fate ${body.publish}" before you publish again`;
    throw translateLostCall(error, advice);
  }
}

function makeReportError(report: PublishReport): CliError {
  const {publish, answer} = report;
  const faults = report.faults.map(
    ({field, value, reason}) => `\n${field} = ${value}: ${reason}`,
  );
  const message = `publish ${publish}: ${answer}${faults.join('')}`;
  if (answer === PublishAnswer.Unknown) {
    const advice = `ask "zinniaspindle fate ${publish}" before you publish again`;
    return new CliError(CliErrorCode.Unknown, message, advice);
  }
  const advice =
    answer === PublishAnswer.NotAccepted
      ? 'publish it again'
      : 'correct the changes and publish them again';
  return new CliError(CliErrorCode.Refused, message, advice);
}
