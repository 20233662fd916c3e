import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ConfigurationEvent, eventTexts, renderEvent} from '../src/index.js';

test('the text of an event is rendered with its values', () => {
  const text = renderEvent({
    event: ConfigurationEvent.PublishAccepted,
    fields: {publish: 'p1', offset: 7},
  });
  assert.equal(text, 'publish p1 accepted at offset 7');
});

test('event numbers are unique', () => {
  const numbers = Object.keys(eventTexts);
  assert.equal(new Set(numbers).size, numbers.length);
});
