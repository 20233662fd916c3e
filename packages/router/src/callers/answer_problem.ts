import {FinalAnswer} from '@zinniaspindle/shared';
import type {Instant, Problem} from '@zinniaspindle/shared';

/** A final answer other than `completed`, as a decision gave it. */
export interface UndoneAnswer {
  readonly answer: FinalAnswer;
  readonly detail: string;
  readonly retryAt?: Instant;
  readonly field?: string;
  readonly value?: string;
}

/** HTTP status of each final answer. */
const answerStatus: Readonly<Record<FinalAnswer, number>> = {
  [FinalAnswer.Cancelled]: 409,
  [FinalAnswer.Completed]: 200,
  [FinalAnswer.NotRun]: 503,
  [FinalAnswer.OutcomeUnknown]: 504,
  [FinalAnswer.Partial]: 502,
  [FinalAnswer.Rejected]: 400,
};

/** Makes the problem document of a final answer; the subject is named first. */
export function makeAnswerProblem(
  subject: string,
  undone: UndoneAnswer,
): Problem {
  const {answer, detail, field, value, retryAt} = undone;
  return {
    type: `urn:zinniaspindle:answer:${answer}`,
    title: answer,
    status: answerStatus[answer],
    detail: `${subject}: ${detail}`,
    answer,
    ...(field === undefined ? {} : {field}),
    ...(value === undefined ? {} : {value}),
    ...(retryAt === undefined ? {} : {retryAt}),
  };
}
