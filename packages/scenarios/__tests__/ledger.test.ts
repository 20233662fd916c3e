import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type ActionKey,
  type EndpointId,
  FinalAnswer,
  type GenerationParameters,
  type RequestId,
  toId,
} from '@zinniaspindle/shared';
import {computeExpectedTokens, WorkKind} from '@zinniaspindle/stand-ins';
import {
  type ActionObservation,
  type AnswerObservation,
  compareLedger,
  type Observations,
  parseScenario,
  type RequestObservation,
  runScenario,
  type WorkObservation,
} from '../src/index.js';

const generation: GenerationParameters = {
  prompt: 'p',
  maxTokens: 3,
  sampling: {},
};
const layerCount = 4;
const texts = computeExpectedTokens(generation, layerCount);
const nothing: Observations = {
  requests: [],
  actions: [],
  publishes: [],
  work: [],
};

function makeAnswer(
  answer: FinalAnswer,
  atMilliseconds: number,
): AnswerObservation {
  return {answer, detail: '', atMilliseconds};
}

function makeRequest(
  answer: FinalAnswer,
  tokens: readonly string[],
): RequestObservation {
  return {
    name: 'r1',
    request: toId<RequestId>('id1'),
    generation,
    layerCount,
    tokens: tokens.map((text, index) => ({index, text})),
    answers: [makeAnswer(answer, 10)],
  };
}

function makeAction(
  name: string,
  ...answers: AnswerObservation[]
): ActionObservation {
  const actionKey = toId<ActionKey>('key1');
  return {name, service: 'orders', key: 'k1', actionKey, answers};
}

function makeExecution(atMilliseconds: number): WorkObservation {
  const key = toId<ActionKey>('key1');
  const work = {kind: WorkKind.Executed, key} as const;
  return {atMilliseconds, source: 'orders', work};
}

const attemptRan: WorkObservation = {
  atMilliseconds: 5,
  source: 'e1',
  work: {
    kind: WorkKind.AttemptRan,
    endpoint: toId<EndpointId>('e1'),
    request: toId<RequestId>('id1'),
    attempt: 1,
  },
};

function listKinds(observations: Partial<Observations>): string[] {
  const faults = compareLedger({...nothing, ...observations});
  return faults.map(({kind}) => kind);
}

test('true answers leave no fault', () => {
  const kinds = listKinds({
    requests: [makeRequest(FinalAnswer.Completed, texts)],
    actions: [
      makeAction('a1', makeAnswer(FinalAnswer.NotRun, 5)),
      makeAction('a2', makeAnswer(FinalAnswer.Completed, 20)),
    ],
    work: [attemptRan, makeExecution(10)],
  });
  assert.deepEqual(kinds, []);
});

test('a wrong, missing, repeated or swapped token is a fault', () => {
  const [first, second, third] = texts as [string, string, string];
  const check = (...tokens: string[]) =>
    listKinds({requests: [makeRequest(FinalAnswer.Completed, tokens)]});
  assert.deepEqual(check(first, ' x', third), ['wrongToken']);
  assert.deepEqual(check(second, first, third), ['wrongToken']);
  assert.deepEqual(check(first, second), ['falseCompleted']);
  assert.deepEqual(check(first, first, second), ['wrongToken']);
  const partial = makeRequest(FinalAnswer.Partial, [first]);
  assert.deepEqual(listKinds({requests: [partial]}), []);
});

test('a request that is not run leaves no trace at an engine', () => {
  const requests = [makeRequest(FinalAnswer.NotRun, [])];
  assert.deepEqual(listKinds({requests}), []);
  assert.deepEqual(listKinds({requests, work: [attemptRan]}), ['falseNotRun']);
});

test('an action that ran twice, or ran after all though refused, is a fault', () => {
  const unknown = makeAction('a1', makeAnswer(FinalAnswer.OutcomeUnknown, 5));
  const refused = makeAction('a2', makeAnswer(FinalAnswer.NotRun, 15));
  const once = [makeExecution(10)];
  const twice = [makeExecution(10), makeExecution(11)];
  const check = (actions: ActionObservation[], work: WorkObservation[]) =>
    listKinds({actions, work});
  assert.deepEqual(check([unknown], once), []);
  assert.deepEqual(check([unknown], twice), ['executedTwice']);
  assert.deepEqual(check([refused], once), ['falseNotRun']);
  assert.deepEqual(check([refused, unknown], once), ['falseNotRun']);
  const done = makeAction('a3', makeAnswer(FinalAnswer.Completed, 5));
  assert.deepEqual(check([done], []), ['falseCompleted']);
  const both = makeAction('a4', ...done.answers, ...refused.answers);
  assert.deepEqual(check([both], [makeExecution(20)]), [
    'answeredTwice',
    'falseNotRun',
  ]);
});

test('an accepted publish that an entry VM goes back behind is a fault', () => {
  const published = {name: 'p1', accepted: true, detail: ''};
  assert.deepEqual(listKinds({publishes: [published]}), []);
  const reverted = {...published, reverted: 'vm1 shows offset 3'};
  assert.deepEqual(listKinds({publishes: [reverted]}), ['reverted']);
});

test('a run reports the expectation that is late with its line', async () => {
  const scenario = parseScenario(
    'late',
    `fleet
at 1s caller practice posts tokens=3 as r1
expect r1 completed by 2s
expect r1 completed by 1005ms`,
  );
  let elapsed = 0;
  const seen: string[] = [];
  const answers = [makeAnswer(FinalAnswer.Completed, 1010)];
  const request = {...makeRequest(FinalAnswer.Completed, texts), answers};
  const report = await runScenario(scenario, {
    startFleet: async ({entries}) => void seen.push(`fleet of ${entries}`),
    getElapsed: () => elapsed,
    waitUntil: async until => void (elapsed = Math.max(elapsed, until)),
    runStep: async step => void seen.push(`${step.kind} at ${elapsed}`),
    observe: () => ({...nothing, requests: [request]}),
    stop: async () => void seen.push('stop'),
  });
  assert.deepEqual(seen, ['fleet of 3', 'post at 1000', 'stop']);
  assert.equal(report.passed, false);
  assert.deepEqual(report.failures, [
    {
      line: 4,
      text: 'expect r1 completed by 1005ms',
      detail: 'r1 was answered at 1010 ms, not by 1005 ms',
    },
  ]);
});
