import assert from 'node:assert/strict';
import {test} from 'node:test';
import {matchSelector, parseSelector, SelectorError} from '../src/index.js';

function isMatch(text: string, labels: Record<string, string>): boolean {
  const parsed = parseSelector(text);
  if (parsed.isErr) throw parsed.error;
  return matchSelector(parsed.value, labels);
}

test('every operator matches as defined for label selectors', () => {
  const labels = {a: 'b', tier: 'x', empty: '', 'org.example/team': 'one'};
  const expected: [string, boolean][] = [
    ['', true],
    ['a=b', true],
    ['a==b', true],
    ['a!=b', false],
    ['other!=b', true],
    ['tier in (x, y)', true],
    ['tier notin (x,y)', false],
    ['other notin (x)', true],
    ['other in (x)', false],
    ['a', true],
    ['!a', false],
    ['!other', true],
    ['toString', false],
    ['empty=', true],
    ['empty in (,x)', true],
    ['a=b,tier!=z,!other', true],
    ['a=b,tier=z', false],
    [' a = b , org.example/team = one ', true],
  ];
  for (const [text, matches] of expected) {
    assert.equal(isMatch(text, labels), matches, text);
  }
});

test('an error contains the position, the found and the expected text', () => {
  const expected: [string, number, string, string][] = [
    ['a=b,', 4, '', 'a label key or "!"'],
    ['=b', 0, '=', 'a label key or "!"'],
    ['a ? b', 2, '?', '"=", "==", "!=", "in", "notin", "," or the end'],
    ['a in x', 5, 'x', '"("'],
    ['a in (x', 7, '', '"," or ")"'],
    ['a=b c', 4, 'c', '"," or the end'],
    ['a=-b', 2, '-b', 'a label value'],
    ['!', 1, '', 'a label key'],
  ];
  for (const [text, position, found, wanted] of expected) {
    const parsed = parseSelector(text);
    assert.ok(parsed.isErr, text);
    assert.ok(parsed.error instanceof SelectorError);
    assert.deepEqual(
      [parsed.error.position, parsed.error.found, parsed.error.expected],
      [position, found, wanted],
      text,
    );
  }
});
