import {Argument, type Command} from 'commander';
import {ObjectKind} from '@zinniaspindle/shared';
import {
  parseCount,
  parseFlag,
  parseJsonOrWord,
  parseNames,
  parseTime,
} from './parse_values.js';
import {type LinkStep, type SignalStep, StepKind} from './steps.js';
import type {CollectStep} from './collect_step.js';

const defaultPrompt = 'Write a renewal letter.';

/** Adds the command that sets up the fleet. */
export function addFleetVerb(program: Command, collect: CollectStep): void {
  const fleet = program
    .command('fleet')
    .option('--entries <count>', '', parseCount, 3)
    .option('--dataCentres <count>', '', parseCount, 3)
    .option('--ranges <count>', '', parseCount, 3)
    .option('--replicas <count>', '', parseCount, 2)
    .option('--layers <count>', '', parseCount, 24)
    .option('--callers <names>', '', parseNames, ['lens-calls', 'practice'])
    .option('--services <names>', '', parseNames, ['orders'])
    .option('--lookup <flag>', '', parseFlag, false)
    .option('--vmListLag <time>', '', parseTime, 2000)
    .option('--retention <time>', '', parseTime, 3_600_000)
    .option('--appendsPerSecond <count>', '', parseCount, 300);
  fleet.action(() => {
    const {vmListLag, retention, ...rest} = fleet.opts<FleetOptions>();
    collect({
      kind: StepKind.Fleet,
      ...rest,
      vmListLagMilliseconds: vmListLag,
      retentionMilliseconds: retention,
    });
  });
}

interface FleetOptions {
  readonly entries: number;
  readonly dataCentres: number;
  readonly ranges: number;
  readonly replicas: number;
  readonly layers: number;
  readonly callers: readonly string[];
  readonly services: readonly string[];
  readonly lookup: boolean;
  readonly vmListLag: number;
  readonly retention: number;
  readonly appendsPerSecond: number;
}

/** Adds the commands of what callers do. */
export function addCallerVerbs(program: Command, collect: CollectStep): void {
  const group = program.command('caller');
  addPosts(group, collect);
  addActs(group, collect);
  group
    .command('leaves')
    .argument('<caller>')
    .argument('<request>')
    .action((caller: string, request: string) =>
      collect({kind: StepKind.Leave, caller, request}),
    );
  const reconnects = group
    .command('reconnects')
    .argument('<caller>')
    .argument('<request>')
    .option('--via <entry>');
  reconnects.action((caller: string, request: string) => {
    const options = reconnects.opts<{via?: string}>();
    collect({kind: StepKind.Reconnect, caller, request, ...options});
  });
}

interface PostOptions {
  readonly pipeline: string;
  readonly tokens: number;
  readonly prompt: string;
  readonly priority: number;
  readonly within: number;
  readonly via?: string;
  readonly as: string;
}

function addPosts(group: Command, collect: CollectStep): void {
  const posts = group
    .command('posts')
    .argument('<caller>')
    .requiredOption('--as <name>')
    .option('--pipeline <name>', '', 'letters')
    .option('--tokens <count>', '', parseCount, 16)
    .option('--prompt <text>', '', defaultPrompt)
    .option('--priority <level>', '', parseCount, 0)
    .option('--within <time>', '', parseTime, 20_000)
    .option('--via <entry>');
  posts.action((caller: string) => {
    const {as: name, within, ...rest} = posts.opts<PostOptions>();
    const withinMilliseconds = within;
    collect({kind: StepKind.Post, caller, name, withinMilliseconds, ...rest});
  });
}

interface ActOptions {
  readonly service: string;
  readonly key: string;
  readonly body: string;
  readonly within: number;
  readonly via?: string;
  readonly as: string;
}

function addActs(group: Command, collect: CollectStep): void {
  const acts = group
    .command('acts')
    .argument('<caller>')
    .requiredOption('--as <name>')
    .requiredOption('--key <key>')
    .option('--service <name>', '', 'orders')
    .option('--body <text>', '', 'one pair')
    .option('--within <time>', '', parseTime, 10_000)
    .option('--via <entry>');
  acts.action((caller: string) => {
    const {as: name, within, ...rest} = acts.opts<ActOptions>();
    const withinMilliseconds = within;
    collect({kind: StepKind.Act, caller, name, withinMilliseconds, ...rest});
  });
}

/** Adds the commands of what happens to processes. */
export function addProcessVerbs(program: Command, collect: CollectStep): void {
  const kinds = new Argument('<kind>').choices([
    'entry',
    'endpoint',
    'service',
  ]);
  for (const kind of [StepKind.Kill, StepKind.Resume] as const) {
    program
      .command(kind)
      .addArgument(kinds)
      .argument('<name>')
      .action((_: string, name: string) => collect({kind, name}));
  }
  const pause = program.command('pause').addArgument(kinds);
  addState(pause, StepKind.Pause, StepKind.Resume, collect);
  const entry = new Argument('<kind>').choices(['entry']);
  const cut = program.command('cut').addArgument(entry);
  addState(cut, StepKind.Cut, StepKind.Restore, collect);
  program
    .command('drain')
    .addArgument(new Argument('<kind>').choices(['entry', 'endpoint']))
    .argument('<name>')
    .action((_: string, name: string) => collect({kind: StepKind.Drain, name}));
  program
    .command('start')
    .addArgument(new Argument('<kind>').choices(['entry']))
    .argument('<name>')
    .action((_: string, name: string) => collect({kind: StepKind.Start, name}));
}

/** What begins and ends a state that a process is in for some time. */
type StateStep = LinkStep | SignalStep;

/** Adds a command that begins a state, and ends it where `for` is given. */
function addState(
  command: Command,
  begin: StateStep['kind'],
  end: StateStep['kind'],
  collect: CollectStep,
): void {
  command.argument('<name>').option('--for <time>', '', parseTime);
  command.action((_: string, name: string) => {
    const options = command.opts<{for?: number}>();
    const start = {kind: begin, name};
    if (options.for === undefined) {
      collect(start);
      return;
    }
    const step = {kind: end, name};
    collect(start, {step, afterMilliseconds: options.for});
  });
}

interface PublishOptions {
  readonly via?: string;
  readonly as: string;
}

/** Adds the commands of what operators do. */
export function addOperatorVerbs(program: Command, collect: CollectStep): void {
  const publishes = program
    .command('operator')
    .command('publishes')
    .addArgument(new Argument('<kind>').choices(Object.values(ObjectKind)))
    .argument('<name>')
    .argument('<field>')
    .argument('<value>', '', parseJsonOrWord)
    .requiredOption('--as <name>')
    .option('--via <entry>');
  publishes.action(
    (objectKind: string, objectName: string, field: string, value: unknown) => {
      const {as: name, ...rest} = publishes.opts<PublishOptions>();
      const object = {objectKind, objectName, field, value};
      collect({kind: StepKind.Publish, name, ...object, ...rest});
    },
  );
}
