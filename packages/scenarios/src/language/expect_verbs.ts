import {Argument, type Command} from 'commander';
import {FinalAnswer} from '@zinniaspindle/shared';
import type {CollectStep} from './collect_step.js';
import {parseCount, parseTime} from './parse_values.js';
import {type Expectation, ExpectationKind, StepKind} from './steps.js';

interface ByOption {
  readonly by?: number;
}

/** Adds the commands of what a scenario expects. */
export function addExpectVerbs(program: Command, collect: CollectStep): void {
  const group = program.command('expect');
  const takeExpectation = (expectation: Expectation, options: ByOption) =>
    collect({
      kind: StepKind.Expect,
      expectation,
      ...(options.by === undefined ? {} : {byMilliseconds: options.by}),
    });
  addAnswers(group, takeExpectation);
  addExecuted(group, takeExpectation);
  addPublished(group, takeExpectation);
  addTokensOnce(group, takeExpectation);
  addNothingNew(group, takeExpectation);
  addRetried(group, takeExpectation);
}

type CollectExpectation = (expectation: Expectation, options: ByOption) => void;

function addBy(command: Command): Command {
  return command.option('--by <time>', '', parseTime);
}

function addAnswers(group: Command, collect: CollectExpectation): void {
  const kind = ExpectationKind.Answer;
  for (const answer of Object.values(FinalAnswer)) {
    const command = addBy(group.command(answer).argument('<name>'));
    command.action((name: string) =>
      collect({kind, name, answers: [answer]}, command.opts<ByOption>()),
    );
  }
  const answered = addBy(group.command('answered').argument('<name>'));
  answered.action((name: string) =>
    collect({kind, name, answers: []}, answered.opts<ByOption>()),
  );
  const either = addBy(
    group
      .command('either')
      .argument('<name>')
      .addArgument(
        new Argument('<answers...>').choices(Object.values(FinalAnswer)),
      ),
  );
  either.action((name: string, answers: FinalAnswer[]) =>
    collect({kind, name, answers}, either.opts<ByOption>()),
  );
}

function addExecuted(group: Command, collect: CollectExpectation): void {
  const command = addBy(
    group
      .command('executed')
      .argument('<service>')
      .argument('<key>')
      .option('--at-most <count>', '', parseCount)
      .option('--exactly <count>', '', parseCount),
  );
  command.action((service: string, key: string) => {
    const options = command.opts<
      ByOption & {readonly atMost?: number; readonly exactly?: number}
    >();
    const most = options.exactly ?? options.atMost ?? 1;
    const least = options.exactly ?? 0;
    const kind = ExpectationKind.Executed;
    collect({kind, service, key, least, most}, options);
  });
}

function addPublished(group: Command, collect: CollectExpectation): void {
  for (const accepted of [true, false]) {
    const command = addBy(
      group.command(accepted ? 'accepted' : 'refused').argument('<publish>'),
    );
    command.action((publish: string) => {
      const kind = ExpectationKind.Published;
      collect({kind, publish, accepted}, command.opts<ByOption>());
    });
  }
  const inForce = addBy(group.command('in-force').argument('<publish>'));
  inForce.action((publish: string) => {
    const kind = ExpectationKind.InForce;
    collect({kind, publish}, inForce.opts<ByOption>());
  });
}

function addTokensOnce(group: Command, collect: CollectExpectation): void {
  group
    .command('once')
    .addArgument(new Argument('<subject>').choices(['every-token']))
    .addArgument(new Argument('<order>').choices(['in-order']))
    .action(() => collect({kind: ExpectationKind.TokensOnce}, {}));
}

function addRetried(group: Command, collect: CollectExpectation): void {
  group
    .command('retried')
    .argument('<request>')
    .action((name: string) =>
      collect({kind: ExpectationKind.Retried, name}, {}),
    );
}

function addNothingNew(group: Command, collect: CollectExpectation): void {
  const command = group
    .command('gets-nothing')
    .argument('<endpoint>')
    .requiredOption('--since <time>', '', parseTime);
  command.action((endpoint: string) => {
    const {since} = command.opts<{since: number}>();
    const kind = ExpectationKind.NothingNew;
    collect({kind, endpoint, sinceMilliseconds: since}, {});
  });
}
