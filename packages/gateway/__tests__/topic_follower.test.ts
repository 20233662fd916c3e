import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createStoreAccess, deriveReadSchedule} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
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

interface LoggedEvent {
  readonly event: GatewayEvent;
  readonly fields: EventFields;
}

/** Reads a topic once from a store that does not answer; returns the event. */
async function readLost(state: TopicState): Promise<EventFields> {
  const lost = Result.err(makeStoreError(StoreErrorCode.Unavailable, 'away'));
  const store = {
    readNewest: () => Promise.resolve(lost),
    readRecords: () => Promise.resolve(lost),
  } as Partial<Store> as Store;
  const [lostEvent] = await readOnce(state, store, () => 5000);
  return lostEvent!.fields;
}

/** Reads a topic once as the first VM; returns the events. */
async function readOnce(
  state: TopicState,
  store: Store,
  getNow: () => Instant,
): Promise<LoggedEvent[]> {
  const events: LoggedEvent[] = [];
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
    (event, fields) => events.push({event, fields}),
    new Metrics(),
    getNow,
  );
  follower.poll({reader: 0, live: 0});
  for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
  return events;
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

test('an answer to a read that comes late is logged', async () => {
  const state = new TopicState(Topic.Endpoints, () => undefined);
  state.acceptNewest([], 4, 4900);
  let now = 5000;
  const store = {
    readRecords: () => {
      now += 1700;
      return Promise.resolve(Result.ok({records: [], end: 4, era: undefined}));
    },
  } as Partial<Store> as Store;
  const events = await readOnce(state, store, () => now);
  assert.deepEqual(events, [
    {
      event: GatewayEvent.ReadLate,
      fields: {topic: Topic.Endpoints, lateMs: 700, waitMs: 1000},
    },
  ]);
});

test('records that an answer had no room for keep the copy from being current', async () => {
  const state = new TopicState(Topic.Configuration, () => undefined);
  state.acceptNewest([], 4, 4900);
  const records = [{key: 'config', value: Buffer.from('5'), offset: 4}];
  const store = {
    readRecords: () =>
      Promise.resolve(Result.ok({records, end: 6, era: undefined})),
  } as Partial<Store> as Store;
  await readOnce(state, store, () => 5000);
  assert.equal(state.next, 5);
  assert.equal(state.asOf, 4900);
  assert.ok(state.readAsOf < 4900);
});
