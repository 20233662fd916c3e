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
const {propagationMilliseconds, answerTtlMilliseconds, handOverMilliseconds} =
  defaultDrainOptions;
const served = start + propagationMilliseconds + answerTtlMilliseconds;

function send(state: DrainState, event: DrainInput, now: number): string[] {
  const result = decideDrain(state, event, now);
  assert.ok(result.isOk);
  return result.value.commands.map(command =>
    command.kind === DrainCommandKind.Exit
      ? `${command.kind} ${command.cut}`
      : command.kind,
  );
}

function startStop(inFlight: number, deadline: number): DrainState {
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

test('serves until answers expired, then until all is finished', () => {
  const state = startStop(1, start + 60_000);
  assert.deepEqual(runTick(state, served - 1), []);
  assert.deepEqual(runTick(state, served), [DrainCommandKind.CloseListeners]);
  assert.deepEqual(runTick(state, served + 5000), []);
  assert.deepEqual(setInFlight(state, 0, served + 6000), ['exit 0']);
});

test('leaving known everywhere shortens the wait for answers only', () => {
  const state = startStop(0, start + 60_000);
  send(state, {kind: DrainEventKind.LeavingPropagated}, start + 500);
  const known = start + 500 + answerTtlMilliseconds;
  assert.deepEqual(runTick(state, known - 1), []);
  assert.deepEqual(runTick(state, known), ['closeListeners', 'exit 0']);
});

test('what still runs near the deadline is handed over, then cut', () => {
  const deadline = start + 30_000;
  const state = startStop(3, deadline);
  runTick(state, served);
  const handOver = deadline - handOverMilliseconds;
  assert.deepEqual(runTick(state, handOver - 1), []);
  assert.deepEqual(runTick(state, handOver), [DrainCommandKind.HandOver]);
  setInFlight(state, 1, deadline - 1);
  assert.deepEqual(runTick(state, deadline), ['exit 1']);
  assert.deepEqual(runTick(state, deadline + 1), []);
});

test('a second signal hands over at once and ends soon', () => {
  const state = startStop(2, start + 60_000);
  const kind = DrainEventKind.StopRequested;
  const again = start + 1000;
  assert.deepEqual(send(state, {kind, deadline: start + 60_000}, again), [
    DrainCommandKind.CloseListeners,
    DrainCommandKind.HandOver,
  ]);
  const end = again + handOverMilliseconds;
  assert.deepEqual(runTick(state, end - 1), []);
  assert.deepEqual(runTick(state, end), ['exit 2']);
});

test('without waiting for what runs, a stop cuts it', () => {
  const guards = {...defaultDrainOptions.guards, inFlight: false};
  const state = makeDrainState({...defaultDrainOptions, guards});
  setInFlight(state, 4, start);
  const kind = DrainEventKind.StopRequested;
  send(state, {kind, deadline: start + 60_000}, start);
  assert.deepEqual(runTick(state, served), ['closeListeners', 'exit 4']);
});
