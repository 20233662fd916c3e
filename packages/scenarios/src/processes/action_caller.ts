import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {type ActionKey, FinalAnswer, type Problem} from '@zinniaspindle/shared';
import type {
  ActionObservation,
  AnswerObservation,
} from '../ledger/observations.js';
import type {Directory} from './directory.js';
import {type EntryReply, fetchReply} from './entry_calls.js';

const retryMilliseconds = 200;
const statusOk = 200;

/** A protected action that a caller places. */
export interface ActionPlan {
  readonly name: string;
  readonly service: string;
  readonly key: string;
  readonly actionKey: ActionKey;
  readonly body: string;
  readonly token: string;
  /** Instant by which the caller wants the answer. */
  readonly deadline: number;
}

/** Places one action; asks again under the same key until it is answered. */
export class ActionCaller {
  private readonly answers: AnswerObservation[] = [];
  private isRepeat = false;

  constructor(
    private readonly plan: ActionPlan,
    private readonly directory: Directory,
    private readonly getElapsed: () => number,
  ) {}

  /** Places the action; at the directory's choice when via is absent. */
  async runPost(via?: string): Promise<void> {
    for (let attempt = 0; Date.now() < this.plan.deadline; attempt += 1) {
      const isFirst = attempt === 0 && via !== undefined;
      const address = isFirst ? via : await this.directory.pick(attempt);
      try {
        this.addAnswer(await this.sendAction(address));
        return;
      } catch {
        // The call may have been placed: from now on it is a repeat.
        this.isRepeat = true;
        await waitMilliseconds(retryMilliseconds);
      }
    }
  }

  describe(): ActionObservation {
    const {name, service, key, actionKey} = this.plan;
    return {name, service, key, actionKey, answers: this.answers};
  }

  private sendAction(address: string): Promise<EntryReply> {
    const {service, actionKey, body, token, deadline} = this.plan;
    return fetchReply({
      address,
      method: 'POST',
      path: `/v1/services/${service}/actions`,
      token,
      headers: {
        'idempotency-key': actionKey,
        'x-deadline': String(deadline),
        ...(this.isRepeat ? {'x-repeat': 'true'} : {}),
      },
      body: {action: 'ship', body},
    });
  }

  private addAnswer({status, body}: EntryReply): void {
    const atMilliseconds = this.getElapsed();
    if (status === statusOk) {
      const answer = FinalAnswer.Completed;
      this.answers.push({answer, detail: '', atMilliseconds});
      return;
    }
    const {answer, detail} = body as Problem;
    this.answers.push({answer, detail, atMilliseconds});
  }
}
