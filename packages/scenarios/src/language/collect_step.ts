import type {Step} from './steps.js';

/** Ends what a step began, some time after it. */
export interface StepEnd {
  readonly step: Step;
  readonly afterMilliseconds: number;
}

/** Takes the step that a line stands for, with its end where `for` gives one. */
export type CollectStep = (step: Step, end?: StepEnd) => void;
