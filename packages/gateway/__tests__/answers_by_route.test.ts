import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AnswersByRoute} from '../src/requests/answers_by_route.js';

const manyAnswers = 20;

test('a route has small answers only once many are known', () => {
  const answers = new AnswersByRoute();
  assert.ok(answers.isLarge('look'));
  for (let i = 1; i < manyAnswers; i += 1) answers.record('look', 200, 10);
  assert.ok(answers.isLarge('look'));
  answers.record('look', 200, 10);
  assert.ok(!answers.isLarge('look'));
  answers.record('look', 20_000, 10);
  assert.ok(answers.isLarge('look'));
});
