import type {FinalAnswer} from '@zinniaspindle/shared';
import type {AnswerObservation} from '../ledger/observations.js';
import type {ScenarioReport} from './run_scenario.js';

/** Counts verdicts and answers over many runs. */
export class RunTally {
  private runs = 0;
  private failed = 0;
  private readonly requests = new Map<string, number>();
  private readonly actions = new Map<string, number>();
  private readonly publishes = new Map<string, number>();
  private readonly faults = new Map<string, number>();

  add(report: ScenarioReport): void {
    this.runs += 1;
    if (!report.passed) this.failed += 1;
    const {requests, actions, publishes} = report.observations;
    for (const {answers} of requests) countAnswer(this.requests, answers);
    for (const {answers} of actions) countAnswer(this.actions, answers);
    for (const {accepted} of publishes) {
      addOne(this.publishes, describeFate(accepted));
    }
    for (const {kind} of report.ledgerFaults) addOne(this.faults, kind);
  }

  /** Renders the counts, one kind of work a line. */
  render(): string {
    return [
      `${this.runs} runs, ${this.failed} failed`,
      `requests: ${formatCounts(this.requests)}`,
      `actions: ${formatCounts(this.actions)}`,
      `publishes: ${formatCounts(this.publishes)}`,
      `ledger faults: ${formatCounts(this.faults)}`,
    ].join('\n');
  }
}

function countAnswer(
  counts: Map<string, number>,
  answers: readonly AnswerObservation[],
): void {
  const answer: FinalAnswer | undefined = answers[0]?.answer;
  addOne(counts, answer ?? 'no answer');
}

function describeFate(accepted: boolean | undefined): string {
  if (accepted === undefined) return 'no answer';
  return accepted ? 'accepted' : 'refused';
}

function addOne(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

function formatCounts(counts: ReadonlyMap<string, number>): string {
  if (counts.size === 0) return 'none';
  const parts: string[] = [];
  for (const [name, count] of counts) parts.push(`${count} ${name}`);
  return parts.join(', ');
}
