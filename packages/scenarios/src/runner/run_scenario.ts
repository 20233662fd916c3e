import {checkExpectation} from '../ledger/check_expectation.js';
import {compareLedger, type LedgerFault} from '../ledger/compare_ledger.js';
import type {Observations} from '../ledger/observations.js';
import {
  type ExpectStep,
  type FleetStep,
  type PlacedStep,
  type Scenario,
  type Step,
  StepKind,
} from '../language/steps.js';

const settleMilliseconds = 5000;
const pollMilliseconds = 50;

/** A step that something is done for. */
export type ActiveStep = Exclude<Step, ExpectStep | FleetStep>;

/**
 * Where a scenario runs: real processes, or decisions in virtual time. All
 * times are milliseconds from the moment that the fleet is ready.
 */
export interface ScenarioBackend {
  /** Starts the fleet and waits until it is ready. */
  readonly startFleet: (fleet: FleetStep) => Promise<void>;
  readonly getElapsed: () => number;
  readonly waitUntil: (elapsed: number) => Promise<void>;
  /** Does what a step says; does not wait for the answers that it leads to. */
  readonly runStep: (step: ActiveStep) => Promise<void>;
  readonly observe: () => Observations;
  /** Ends every process that the backend started. */
  readonly stop: () => Promise<void>;
}

/** An expectation that was not met, or a step that could not be done. */
export interface ScenarioFailure {
  readonly line: number;
  readonly text: string;
  readonly detail: string;
}

/** The verdict on one run of a scenario. */
export interface ScenarioReport {
  readonly name: string;
  readonly passed: boolean;
  readonly failures: readonly ScenarioFailure[];
  readonly ledgerFaults: readonly LedgerFault[];
  readonly observations: Observations;
}

/** Runs a scenario and checks what it expects and the ledger. */
export async function runScenario(
  scenario: Scenario,
  backend: ScenarioBackend,
): Promise<ScenarioReport> {
  try {
    await runSteps(scenario, backend);
    await waitForAnswers(scenario, backend);
    return makeReport(scenario, backend.observe());
  } finally {
    await backend.stop();
  }
}

async function runSteps(
  scenario: Scenario,
  backend: ScenarioBackend,
): Promise<void> {
  for (const {atMilliseconds, step} of scenario.steps) {
    if (step.kind === StepKind.Expect) continue;
    if (step.kind === StepKind.Fleet) {
      await backend.startFleet(step);
      continue;
    }
    await backend.waitUntil(atMilliseconds);
    await backend.runStep(step);
  }
}

async function waitForAnswers(
  scenario: Scenario,
  backend: ScenarioBackend,
): Promise<void> {
  const end = findEnd(scenario);
  while (backend.getElapsed() < end) {
    if (isSettled(scenario, backend.observe())) return;
    await backend.waitUntil(backend.getElapsed() + pollMilliseconds);
  }
}

/** Finds the latest instant at which an answer may still be on its way. */
function findEnd(scenario: Scenario): number {
  let end = 0;
  for (const {atMilliseconds, step} of scenario.steps) {
    let last = atMilliseconds + settleMilliseconds;
    if (step.kind === StepKind.Expect) last = step.byMilliseconds ?? 0;
    if (step.kind === StepKind.Post || step.kind === StepKind.Act) {
      last += step.withinMilliseconds;
    }
    end = Math.max(end, last);
  }
  return end;
}

function isSettled(scenario: Scenario, observations: Observations): boolean {
  const {requests, actions, publishes} = observations;
  for (const {answers} of [...requests, ...actions]) {
    if (answers.length === 0) return false;
  }
  for (const {accepted} of publishes) {
    if (accepted === undefined) return false;
  }
  // Expectations that time can only fulfil are waited for; the rest hold now.
  for (const {step} of scenario.steps) {
    if (step.kind !== StepKind.Expect || step.byMilliseconds === undefined) {
      continue;
    }
    if (checkExpectation(step, observations) !== undefined) return false;
  }
  return true;
}

function makeReport(
  scenario: Scenario,
  observations: Observations,
): ScenarioReport {
  const failures = listFailures(scenario.steps, observations);
  const ledgerFaults = compareLedger(observations);
  const passed = failures.length === 0 && ledgerFaults.length === 0;
  const {name} = scenario;
  return {name, passed, failures, ledgerFaults, observations};
}

function listFailures(
  steps: readonly PlacedStep[],
  observations: Observations,
): ScenarioFailure[] {
  const failures: ScenarioFailure[] = [];
  for (const {line, text, step} of steps) {
    if (step.kind !== StepKind.Expect) continue;
    const detail = checkExpectation(step, observations);
    if (detail !== undefined) failures.push({line, text, detail});
  }
  return failures;
}
