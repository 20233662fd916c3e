import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {DrainInput, DrainState} from '../src/index.js';
import {
  decideDrain,
  defaultDrainOptions,
  DrainCommandKind,
  DrainEventKind,
  makeDrainState,
} from '../src/index.js';

const start = 1_000_000;
const {
  propagationMilliseconds,
  answerTtlMilliseconds,
  handOverMilliseconds,
  answerMilliseconds,
} = defaultDrainOptions;
const answersExpiredAt =
  start + propagationMilliseconds + answerTtlMilliseconds;

function send(state: DrainState, event: DrainInput, now: number): string[] {
  const result = decideDrain(state, event, now);
  assert.ok(result.isOk);
  return result.value.commands.map(command =>
    command.kind === DrainCommandKind.Exit
      ? `${command.kind} ${command.cut}`
      : command.kind,
  );
}

function startDrain(inFlight: number, deadline: number): DrainState {
  const state = makeDrainState(defaultDrainOptions);
  setInFlight(state, inFlight, start);
  const kind = DrainEventKind.StopRequested;
  assert.deepEqual(send(state, {kind, deadline}, start), [
    DrainCommandKind.AnnounceLeaving,
    DrainCommandKind.ReleaseLeases,
  ]);
  return state;
}

function setInFlight(state: DrainState, count: number, now: number): string[] {
  return send(state, {kind: DrainEventKind.InFlightChanged, count}, now);
}

function runTick(state: DrainState, now: number): string[] {
  return send(state, {kind: DrainEventKind.Tick}, now);
}

test('a VM serves until answers expire, then finishes requests in flight', () => {
  const state = startDrain(1, start + 60_000);
  assert.deepEqual(runTick(state, answersExpiredAt - 1), []);
  assert.deepEqual(runTick(state, answersExpiredAt), [
    DrainCommandKind.CloseListeners,
  ]);
  assert.deepEqual(runTick(state, answersExpiredAt + 5000), []);
  assert.deepEqual(setInFlight(state, 0, answersExpiredAt + 6000), ['exit 0']);
});

test('once all VMs know of the leaving, only the answer TTL is awaited', () => {
  const state = startDrain(0, start + 60_000);
  send(state, {kind: DrainEventKind.LeavingPropagated}, start + 500);
  const shortenedUntil = start + 500 + answerTtlMilliseconds;
  assert.deepEqual(runTick(state, shortenedUntil - 1), []);
  assert.deepEqual(runTick(state, shortenedUntil), [
    'closeListeners',
    'exit 0',
  ]);
});

test('requests still in flight near the deadline are handed over, then cut off', () => {
  const deadline = start + 30_000;
  const state = startDrain(3, deadline);
  runTick(state, answersExpiredAt);
  const handOver = deadline - handOverMilliseconds;
  assert.deepEqual(runTick(state, handOver - 1), []);
  assert.deepEqual(runTick(state, handOver), [DrainCommandKind.HandOver]);
  const answerAt = deadline - answerMilliseconds;
  assert.deepEqual(setInFlight(state, 2, answerAt - 1), []);
  assert.deepEqual(runTick(state, answerAt), [DrainCommandKind.AnswerRest]);
  assert.deepEqual(setInFlight(state, 1, deadline - 1), []);
  assert.deepEqual(runTick(state, deadline), ['exit 1']);
  assert.deepEqual(runTick(state, deadline + 1), []);
});

test('a repeated stop request hands over at once and shortens the deadline', () => {
  const state = startDrain(2, start + 60_000);
  const kind = DrainEventKind.StopRequested;
  const secondStopAt = start + 1000;
  assert.deepEqual(
    send(state, {kind, deadline: start + 60_000}, secondStopAt),
    [DrainCommandKind.CloseListeners, DrainCommandKind.HandOver],
  );
  const end = secondStopAt + handOverMilliseconds;
  const answerAt = end - answerMilliseconds;
  assert.deepEqual(runTick(state, answerAt - 1), []);
  assert.deepEqual(runTick(state, answerAt), [DrainCommandKind.AnswerRest]);
  assert.deepEqual(runTick(state, end - 1), []);
  assert.deepEqual(runTick(state, end), ['exit 2']);
});

test('a stop whose deadline is now still hands over and answers', () => {
  const state = makeDrainState(defaultDrainOptions);
  setInFlight(state, 2, start);
  const kind = DrainEventKind.StopRequested;
  assert.deepEqual(send(state, {kind, deadline: start}, start), [
    DrainCommandKind.AnnounceLeaving,
    DrainCommandKind.ReleaseLeases,
    DrainCommandKind.CloseListeners,
    DrainCommandKind.HandOver,
  ]);
  assert.deepEqual(send(state, {kind, deadline: start}, start), []);
  const end = start + handOverMilliseconds;
  const answerAt = end - answerMilliseconds;
  assert.deepEqual(runTick(state, answerAt), [DrainCommandKind.AnswerRest]);
  assert.deepEqual(runTick(state, end - 1), []);
  assert.deepEqual(runTick(state, end), ['exit 2']);
});

test('without the in-flight safeguard, a stop cuts off requests', () => {
  const guards = {...defaultDrainOptions.guards, inFlight: false};
  const state = makeDrainState({...defaultDrainOptions, guards});
  setInFlight(state, 4, start);
  const kind = DrainEventKind.StopRequested;
  send(state, {kind, deadline: start + 60_000}, start);
  assert.deepEqual(runTick(state, answersExpiredAt), [
    'closeListeners',
    'exit 4',
  ]);
});
