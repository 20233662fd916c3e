import type {AnswerObservation} from '../ledger/observations.js';
import type {ScenarioReport} from './run_scenario.js';

/** Renders a report: the verdict, every answer, one fault a line. */
export function renderReport(report: ScenarioReport): string {
  const lines = [`${report.name}: ${report.passed ? 'passed' : 'FAILED'}`];
  const {requests, actions, publishes} = report.observations;
  for (const {name, answers, tokens} of requests) {
    lines.push(`  ${name}: ${formatAnswers(answers)}, ${tokens.length} tokens`);
  }
  for (const {name, answers} of actions) {
    lines.push(`  ${name}: ${formatAnswers(answers)}`);
  }
  for (const {name, accepted, answeredAtMilliseconds: at} of publishes) {
    const fate = accepted === undefined ? 'no answer' : formatFate(accepted);
    lines.push(`  ${name}: ${fate}${at === undefined ? '' : ` at ${at} ms`}`);
  }
  for (const {line, text, detail} of report.failures) {
    lines.push(`  line ${line}: ${text}: ${detail}`);
  }
  for (const {kind, subject, detail} of report.ledgerFaults) {
    lines.push(`  ledger: ${subject}: ${kind}: ${detail}`);
  }
  return lines.join('\n');
}

function formatAnswers(answers: readonly AnswerObservation[]): string {
  if (answers.length === 0) return 'no answer';
  return answers
    .map(({answer, atMilliseconds}) => `${answer} at ${atMilliseconds} ms`)
    .join(', ');
}

function formatFate(accepted: boolean): string {
  return accepted ? 'accepted' : 'refused';
}
