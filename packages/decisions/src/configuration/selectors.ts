/**
 * Parses and matches label selectors: requirements separated by commas, all
 * of which must be met.
 *
 *     a=b  a==b  a!=b  a in (x,y)  a notin (x,y)  a  !a
 *
 * `!=` and `notin` also match if the label is absent. The empty selector
 * matches everything.
 */
import type {Labels} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {SelectorError} from './errors.js';

/** The condition that a requirement puts on a label. */
export enum SelectorOperator {
  Absent = 'absent',
  In = 'in',
  NotIn = 'notIn',
  Present = 'present',
}

/** One requirement of a selector; equality is `In` with one value. */
export interface SelectorRequirement {
  readonly key: string;
  readonly operator: SelectorOperator;
  readonly values: ReadonlySet<string>;
}

/** A parsed selector. */
export interface Selector {
  readonly requirements: readonly SelectorRequirement[];
}

/** A label key: an optional prefix and slash, then a name. */
export const labelKeyPattern =
  /^([A-Za-z0-9]([-A-Za-z0-9_.]{0,251}[A-Za-z0-9])?\/)?[A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?$/;

/** A label value; may be empty. */
export const labelValuePattern =
  /^([A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?)?$/;

interface Token {
  readonly position: number;
  readonly text: string;
}

/** Matches a word, an operator or any other single character. */
const tokenPattern = /\s*([-A-Za-z0-9_./]+|==|!=|[^\s])/gy;

/** Parses a selector; the error contains the position and what was expected. */
export function parseSelector(text: string): Result<Selector, SelectorError> {
  const reader = new TokenReader(text);
  try {
    return Result.ok({requirements: parseRequirements(reader)});
  } catch (error) {
    if (error instanceof SelectorError) return Result.err(error);
    throw error;
  }
}

/** Tells whether labels match every requirement of a selector. */
export function matchSelector(selector: Selector, labels: Labels): boolean {
  for (const requirement of selector.requirements) {
    if (!matchRequirement(requirement, labels)) return false;
  }
  return true;
}

function matchRequirement(
  requirement: SelectorRequirement,
  labels: Labels,
): boolean {
  const {key, operator, values} = requirement;
  const value = Object.hasOwn(labels, key) ? labels[key] : undefined;
  switch (operator) {
    case SelectorOperator.Absent:
      return value === undefined;
    case SelectorOperator.In:
      return value !== undefined && values.has(value);
    case SelectorOperator.NotIn:
      return value === undefined || !values.has(value);
    case SelectorOperator.Present:
      return value !== undefined;
  }
}

class TokenReader {
  private readonly tokens: Token[] = [];
  private next = 0;

  constructor(private readonly text: string) {
    for (const match of text.matchAll(tokenPattern)) {
      const found = match[1]!;
      const position = match.index + match[0].length - found.length;
      this.tokens.push({position, text: found});
    }
  }

  getText(): string {
    return this.tokens[this.next]?.text ?? '';
  }

  read(): Token {
    const end = {position: this.text.length, text: ''};
    const token = this.tokens[this.next] ?? end;
    this.next += 1;
    return token;
  }

  /** Consumes the next token if it is the wanted one. */
  match(wanted: string): boolean {
    if (this.getText() !== wanted) return false;
    this.next += 1;
    return true;
  }

  readMatching(pattern: RegExp, expected: string): string {
    const token = this.read();
    if (token.text !== '' && pattern.test(token.text)) return token.text;
    throw new SelectorError(token.position, token.text, expected);
  }
}

function parseRequirements(reader: TokenReader): SelectorRequirement[] {
  const requirements: SelectorRequirement[] = [];
  if (reader.getText() === '') return requirements;
  for (;;) {
    requirements.push(parseRequirement(reader));
    const token = reader.read();
    if (token.text === '') return requirements;
    if (token.text === ',') continue;
    throw new SelectorError(token.position, token.text, '"," or the end');
  }
}

function parseRequirement(reader: TokenReader): SelectorRequirement {
  if (reader.match('!')) {
    const key = reader.readMatching(labelKeyPattern, 'a label key');
    return makeRequirement(key, SelectorOperator.Absent, []);
  }
  const key = reader.readMatching(labelKeyPattern, 'a label key or "!"');
  if (reader.match('=') || reader.match('==')) {
    return makeRequirement(key, SelectorOperator.In, [parseValue(reader)]);
  }
  if (reader.match('!=')) {
    return makeRequirement(key, SelectorOperator.NotIn, [parseValue(reader)]);
  }
  if (reader.match('in')) {
    return makeRequirement(key, SelectorOperator.In, parseSet(reader));
  }
  if (reader.match('notin')) {
    return makeRequirement(key, SelectorOperator.NotIn, parseSet(reader));
  }
  if (reader.getText() === '' || reader.getText() === ',') {
    return makeRequirement(key, SelectorOperator.Present, []);
  }
  const token = reader.read();
  throw new SelectorError(
    token.position,
    token.text,
    '"=", "==", "!=", "in", "notin", "," or the end',
  );
}

/**
 * Parses a value; it is empty before a comma, a closing parenthesis or the end.
 */
function parseValue(reader: TokenReader): string {
  if (['', ',', ')'].includes(reader.getText())) return '';
  return reader.readMatching(labelValuePattern, 'a label value');
}

function parseSet(reader: TokenReader): string[] {
  const values: string[] = [];
  reader.readMatching(/^\($/, '"("');
  for (;;) {
    values.push(parseValue(reader));
    const token = reader.read();
    if (token.text === ')') return values;
    if (token.text === ',') continue;
    throw new SelectorError(token.position, token.text, '"," or ")"');
  }
}

function makeRequirement(
  key: string,
  operator: SelectorOperator,
  values: readonly string[],
): SelectorRequirement {
  return {key, operator, values: new Set(values)};
}
