import {Command, CommanderError, InvalidArgumentError} from 'commander';
import {
  addCallerVerbs,
  addFleetVerb,
  addOperatorVerbs,
  addProcessVerbs,
} from './action_verbs.js';
import type {CollectStep} from './collect_step.js';
import {makeSyntaxError} from './errors.js';
import {addExpectVerbs} from './expect_verbs.js';
import {addFaultVerbs} from './fault_verbs.js';
import {parseTime} from './parse_values.js';
import {parseWords, toArguments} from './split_words.js';
import {type PlacedStep, type Scenario, StepKind} from './steps.js';
import {translateError} from './translate_error.js';

/** Parses a scenario; throws a ScenarioError at the first wrong line. */
export function parseScenario(name: string, text: string): Scenario {
  const steps: PlacedStep[] = [];
  let lastAt = 0;
  for (const [index, lineText] of text.split('\n').entries()) {
    const parsed = parseLine(index + 1, lineText, lastAt);
    steps.push(...parsed);
    lastAt = parsed[0]?.atMilliseconds ?? lastAt;
  }
  const first = steps[0];
  if (first?.step.kind !== StepKind.Fleet) {
    throw makeSyntaxError(first?.line ?? 1, first?.text ?? '', 'fleet first');
  }
  steps.sort((a, b) => a.atMilliseconds - b.atMilliseconds);
  return {name, steps};
}

/** Parses one line: no step, one, or a step and its end. */
function parseLine(
  line: number,
  lineText: string,
  lastAt: number,
): PlacedStep[] {
  const words = parseWords(lineText);
  if (words.length === 0) return [];
  const text = lineText.trim();
  let atMilliseconds = lastAt;
  if (words[0] === 'at') {
    atMilliseconds = parseAt(line, words[1] ?? '');
    words.splice(0, 2);
  }
  const steps: PlacedStep[] = [];
  const takeStep: CollectStep = (step, end) => {
    steps.push({line, text, atMilliseconds, step});
    if (end === undefined) return;
    const endsAt = atMilliseconds + end.afterMilliseconds;
    steps.push({line, text, atMilliseconds: endsAt, step: end.step});
  };
  runProgram(line, words, takeStep);
  return steps;
}

function parseAt(line: number, word: string): number {
  try {
    return parseTime(word);
  } catch (error) {
    if (!(error instanceof InvalidArgumentError)) throw error;
    throw makeSyntaxError(line, word, error.message);
  }
}

function runProgram(
  line: number,
  words: readonly string[],
  collect: CollectStep,
): void {
  const program = makeProgram(collect);
  const argv = toArguments(words);
  try {
    program.parse(argv, {from: 'user'});
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    throw translateError(error, line, program, argv);
  }
}

/** Builds the commands anew, since a parsed command keeps its options. */
function makeProgram(collect: CollectStep): Command {
  const program = new Command()
    .exitOverride()
    .configureOutput({writeErr: () => undefined, writeOut: () => undefined})
    .helpCommand(false)
    .helpOption(false);
  addFleetVerb(program, collect);
  addCallerVerbs(program, collect);
  addProcessVerbs(program, collect);
  addFaultVerbs(program, collect);
  addOperatorVerbs(program, collect);
  addExpectVerbs(program, collect);
  return program;
}
