import type {Command} from 'commander';
import {parseCount, parseTime} from './parse_values.js';
import type {CollectStep} from './collect_step.js';
import {type FaultSwitch, type Step, StepKind} from './steps.js';

enum FaultValue {
  /** Switched on and off. */
  None = 'none',
  /** Milliseconds of delay; off is 0. */
  Delay = 'delay',
  /** A token index; switches itself off. */
  Token = 'token',
}

interface FaultVerb {
  readonly verb: string;
  readonly switchName: string;
  readonly value: FaultValue;
}

const httpVerbs: readonly FaultVerb[] = [
  {verb: 'down', switchName: 'down', value: FaultValue.None},
  {verb: 'hangs', switchName: 'hangs', value: FaultValue.None},
  {verb: 'loses-answers', switchName: 'losesAnswers', value: FaultValue.None},
  {verb: 'loses-requests', switchName: 'losesRequests', value: FaultValue.None},
  {verb: 'slow', switchName: 'delayMilliseconds', value: FaultValue.Delay},
];

const serviceVerbs: readonly FaultVerb[] = [
  {verb: 'fails', switchName: 'fails', value: FaultValue.None},
  {
    verb: 'answers-slowly',
    switchName: 'answerDelayMilliseconds',
    value: FaultValue.Delay,
  },
];

const endpointVerbs: readonly FaultVerb[] = [
  {verb: 'leaving', switchName: 'leaving', value: FaultValue.None},
  {verb: 'freezes', switchName: 'freeze', value: FaultValue.None},
  {
    verb: 'forwards-slowly',
    switchName: 'forwardDelayMilliseconds',
    value: FaultValue.Delay,
  },
  {verb: 'skips-layer', switchName: 'skipLayerAt', value: FaultValue.Token},
  {verb: 'drops-token', switchName: 'dropTokenAt', value: FaultValue.Token},
  {verb: 'repeats-token', switchName: 'repeatTokenAt', value: FaultValue.Token},
  {
    verb: 'swaps-receipts',
    switchName: 'swapReceiptsAt',
    value: FaultValue.Token,
  },
  {verb: 'crosses-token', switchName: 'crossAt', value: FaultValue.Token},
  {
    verb: 'answers-old-attempt',
    switchName: 'oldAttemptAt',
    value: FaultValue.Token,
  },
];

/** Stand-ins that are alone of their kind: group of commands and name. */
const singles: ReadonlyMap<string, string> = new Map([
  ['log', 'log'],
  ['vm-list', 'vmList'],
  ['weight-store', 'weightStore'],
]);

/** Adds the commands that switch faults of stand-ins. */
export function addFaultVerbs(program: Command, collect: CollectStep): void {
  for (const [groupName, target] of singles) {
    const group = program.command(groupName);
    for (const verb of httpVerbs) addVerb(group, verb, target, collect);
  }
  const service = program.command('service');
  for (const verb of [...httpVerbs, ...serviceVerbs]) {
    addVerb(service, verb, undefined, collect);
  }
  const endpoint = program.command('endpoint');
  for (const verb of [...httpVerbs, ...endpointVerbs]) {
    addVerb(endpoint, verb, undefined, collect);
  }
}

interface FaultOptions {
  readonly for?: number;
  readonly delay?: number;
  readonly token?: number;
}

function addVerb(
  group: Command,
  verb: FaultVerb,
  target: string | undefined,
  collect: CollectStep,
): void {
  const command = group.command(verb.verb);
  if (target === undefined) command.argument('<name>');
  if (verb.value === FaultValue.Token) {
    command.requiredOption('--token <index>', '', parseCount);
  } else {
    command.option('--for <time>', '', parseTime);
  }
  if (verb.value === FaultValue.Delay) {
    command.requiredOption('--delay <time>', '', parseTime);
  }
  command.action(() => {
    const name = target ?? command.args[0]!;
    const options = command.opts<FaultOptions>();
    const start = makeFault(name, verb, options.delay ?? options.token ?? true);
    if (options.for === undefined) {
      collect(start);
      return;
    }
    const off = verb.value === FaultValue.Delay ? 0 : false;
    const step = makeFault(name, verb, off);
    collect(start, {step, afterMilliseconds: options.for});
  });
}

function makeFault(
  target: string,
  verb: FaultVerb,
  value: FaultSwitch['value'],
): Step {
  const fault = {name: verb.switchName, value};
  return {kind: StepKind.Fault, target, fault};
}
