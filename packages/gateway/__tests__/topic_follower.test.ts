import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createStoreAccess, deriveReadSchedule} from '@zinniaspindle/decisions';
import {Result} from 'true-myth';
import {EraWatch} from '../src/following/era_watch.js';
import {TopicFollower} from '../src/following/topic_follower.js';
import {TopicState} from '../src/following/topic_state.js';
import type {EventFields} from '../src/log/event_log.js';
import {Metrics} from '../src/log/metrics.js';
import {
  makeStoreError,
  StoreErrorCode,
  Topic,
  type Store,
} from '../src/ports/index.js';

/** Reads a topic once from a store that does not answer; returns the event. */
async function readLost(state: TopicState): Promise<EventFields> {
  const lost = Result.err(makeStoreError(StoreErrorCode.Unavailable, 'away'));
  const store = {
    readNewest: () => Promise.resolve(lost),
    readRecords: () => Promise.resolve(lost),
  } as Partial<Store> as Store;
  const events: EventFields[] = [];
  const follower = new TopicFollower(
    state,
    store,
    deriveReadSchedule(2000),
    createStoreAccess(),
    new EraWatch(() => undefined),
    {
      sendChanges: () => undefined,
      sendSnapshot: () => undefined,
      sendReplacement: () => undefined,
      handleUpdate: () => undefined,
    },
    (_event, fields) => events.push(fields),
    new Metrics(),
    () => 5000,
  );
  follower.poll({reader: 0, live: 0});
  for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
  return events[0]!;
}

test('a lost store before any data is logged without an age', async () => {
  const state = new TopicState(Topic.Endpoints, () => undefined);
  const fields = await readLost(state);
  assert.equal(fields['newest'], 'there is no data yet');
  assert.equal(fields['ageMs'], undefined);
});

test('a lost store after a pause is logged with data of unknown age', async () => {
  const state = new TopicState(Topic.Endpoints, () => undefined);
  state.acceptNewest([], 4, 100);
  state.expireAge();
  const fields = await readLost(state);
  assert.equal(fields['newest'], 'the newest data is of unknown age');
});

test('a lost store is logged with the age of the newest data', async () => {
  const state = new TopicState(Topic.Endpoints, () => undefined);
  state.acceptNewest([], 4, 4900);
  const fields = await readLost(state);
  assert.equal(fields['newest'], 'the newest data is 100 ms old');
  assert.equal(fields['ageMs'], 100);
});
