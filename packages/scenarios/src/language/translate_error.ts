import type {Command, CommanderError} from 'commander';
import {makeSyntaxError, type ScenarioError} from './errors.js';
import {prepositions} from './split_words.js';

const invalidPattern = /'([^']*)' is invalid[^.]*\. (.*)$/;
const quotedPattern = /'([^']*)'/;

/** Turns the error of a command line into one of the scenario's line. */
export function translateError(
  error: CommanderError,
  line: number,
  program: Command,
  words: readonly string[],
): ScenarioError {
  const invalid = invalidPattern.exec(error.message);
  if (invalid !== null) {
    const expected = invalid[2]!.replace(/^Allowed choices are /, 'one of ');
    return makeSyntaxError(line, invalid[1]!, expected.replace(/\.$/, ''));
  }
  const expected = describeCommand(findCommand(program, words));
  const names = ['commander.unknownCommand', 'commander.unknownOption'];
  const quoted = quotedPattern.exec(error.message)?.[1];
  const word = names.includes(error.code) ? quoted : words.at(-1);
  return makeSyntaxError(line, removeDashes(word ?? ''), expected);
}

/** Finds the command that the first words lead to. */
function findCommand(program: Command, words: readonly string[]): Command {
  let found = program;
  for (const word of words) {
    const next = found.commands.find(command => command.name() === word);
    if (next === undefined) return found;
    found = next;
  }
  return found;
}

function describeCommand(command: Command): string {
  if (command.commands.length > 0) {
    const names = command.commands.map(sub => sub.name());
    return `one of ${names.join(', ')}`;
  }
  const parts = command.registeredArguments.map(argument =>
    argument.argChoices === undefined
      ? `<${argument.name()}>`
      : `<${argument.argChoices.join('|')}>`,
  );
  for (const option of command.options) {
    const text = removeDashes(option.flags);
    parts.push(option.mandatory ? text : `[${text}]`);
  }
  return [command.name(), ...parts].join(' ');
}

/** Shows an option as it stands in a scenario. */
function removeDashes(flags: string): string {
  if (!flags.startsWith('--')) return flags;
  const [name, value] = flags.slice(2).split(/[ =]/, 2);
  if (value === undefined) return name!;
  return prepositions.includes(name!) ? `${name} ${value}` : `${name}=${value}`;
}
