import type {ActionAnswer, ActionRequest} from '@zinniaspindle/decisions';
import {FinalAnswer, type Instant} from '@zinniaspindle/shared';
import {formatResult, type Execution} from './fake_service.js';

/** One request as its caller saw it; requests are numbered as they are made. */
export interface AskedRequest {
  readonly request: ActionRequest;
  /** The latest instant at which an answer is on time; pauses move it. */
  answerBy: Instant;
  /** Whether the caller or the VM is gone, so that no answer is owed. */
  excused: boolean;
  answer?: ActionAnswer;
  answeredAt?: Instant;
}

/** What a run broke, and how its requests ended. */
export interface ActionsVerdict {
  readonly faults: readonly string[];
  readonly answers: ReadonlyMap<FinalAnswer, number>;
  readonly executions: number;
}

/** Compares every answer with what the service ran. */
export class ActionsLedger {
  readonly asked = new Map<number, AskedRequest>();
  readonly faults: string[] = [];

  /** Records the answer that a caller got. */
  recordAnswer(answer: ActionAnswer, now: Instant): void {
    const asked = this.asked.get(answer.request);
    if (!asked) return;
    if (asked.answer) {
      this.faults.push(`request ${answer.request} was answered twice`);
    }
    asked.answer = answer;
    asked.answeredAt = now;
  }

  /** Checks everything that must hold at the end of a run. */
  check(executions: readonly Execution[]): ActionsVerdict {
    this.checkExecutions(executions);
    for (const asked of this.asked.values()) {
      this.checkPromptness(asked);
      if (asked.answer) this.checkAnswer(asked, asked.answer, executions);
    }
    return {
      faults: this.faults,
      answers: this.countAnswers(),
      executions: executions.length,
    };
  }

  private checkExecutions(executions: readonly Execution[]): void {
    const seen = new Set<string>();
    for (const {key} of executions) {
      if (seen.has(key)) this.faults.push(`double execution of ${key}`);
      seen.add(key);
    }
  }

  private checkPromptness(asked: AskedRequest): void {
    if (asked.excused) return;
    const {request} = asked.request;
    if (asked.answeredAt === undefined) {
      this.faults.push(`request ${request} got no answer`);
    } else if (asked.answeredAt > asked.answerBy) {
      this.faults.push(`request ${request} was answered late`);
    }
  }

  private checkAnswer(
    asked: AskedRequest,
    answer: ActionAnswer,
    executions: readonly Execution[],
  ): void {
    const {request, key, digest} = asked.request;
    const executed = executions.filter(one => one.key === key);
    if (answer.answer === FinalAnswer.Completed) {
      const result = formatResult(key, digest);
      if (executed.length !== 1 || answer.result !== result) {
        this.faults.push(`request ${request} has a false result`);
      }
    }
    if (answer.answer !== FinalAnswer.NotRun) return;
    if (answer.retryAt === undefined) {
      this.faults.push(`request ${request} isn't told when to come back`);
    }
    for (const execution of executed) {
      // Only a request that was made later may run the key.
      const later = execution.request > request;
      if (!later) this.faults.push(`false notRun for request ${request}`);
    }
  }

  private countAnswers(): Map<FinalAnswer, number> {
    const counts = new Map<FinalAnswer, number>();
    for (const {answer} of this.asked.values()) {
      if (!answer) continue;
      counts.set(answer.answer, (counts.get(answer.answer) ?? 0) + 1);
    }
    return counts;
  }
}
