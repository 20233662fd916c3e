import {readFileSync} from 'node:fs';
import path from 'node:path';
import {parseScenario} from '../language/parse_scenario.js';
import {runScenario, type ScenarioReport} from '../runner/run_scenario.js';
import {makeRandomScenario} from './make_random_scenario.js';
import {makeProcessBackend} from './process_backend.js';

/** Runs the scenario of a file on real processes. */
export function runScenarioFile(file: string): Promise<ScenarioReport> {
  const name = path.basename(file, '.scenario');
  return runScenarioText(name, readFileSync(file, 'utf8'));
}

/** Runs the random scenario of a seed on real processes. */
export function runRandomScenario(seed: number): Promise<ScenarioReport> {
  return runScenarioText(`seed ${seed}`, makeRandomScenario(seed));
}

function runScenarioText(name: string, text: string): Promise<ScenarioReport> {
  const scenario = parseScenario(name, text);
  return runScenario(scenario, makeProcessBackend(scenario));
}
