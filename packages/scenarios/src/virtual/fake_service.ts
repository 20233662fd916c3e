import type {ActionKey, Random} from '@zinniaspindle/shared';
import type {VirtualClock} from './virtual_clock.js';

/** What calls to the service meet. */
export enum ServiceFault {
  /** The call is lost on its way; the caller can't tell. */
  LosesCalls = 'losesCalls',
  /** The call runs, and its answer is lost. */
  LosesAnswers = 'losesAnswers',
  None = 'none',
  /** The connection is refused: nothing was sent. */
  Refuses = 'refuses',
  /** The call arrives late, perhaps after its caller gave it up. */
  Slow = 'slow',
}

/** One execution of an action. */
export interface Execution {
  readonly key: ActionKey;
  /** The request that the call was made for. */
  readonly request: number;
  readonly digest: string;
}

/** How a call ended for its caller; nothing when no answer comes. */
export interface CallReceiver {
  readonly receiveResult: (result: string) => void;
  readonly receiveRefusal: () => void;
}

const fastMilliseconds = 40;
const slowMilliseconds = 3000;

/** A plain service that counts every execution. */
export class FakeService {
  readonly executions: Execution[] = [];
  fault = ServiceFault.None;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
  ) {}

  /** Takes a call; it runs when it arrives. */
  accept(call: Execution, receiver: CallReceiver): void {
    const {fault} = this;
    if (fault === ServiceFault.LosesCalls) return;
    if (fault === ServiceFault.Refuses) {
      this.clock.runAfter(1, receiver.receiveRefusal);
      return;
    }
    const slow = fault === ServiceFault.Slow;
    const longest = slow ? slowMilliseconds : fastMilliseconds;
    this.clock.runAfter(this.random() * longest, () => {
      this.executions.push(call);
      if (fault === ServiceFault.LosesAnswers) return;
      const result = formatResult(call.key, call.digest);
      this.clock.runAfter(this.random() * fastMilliseconds, () =>
        receiver.receiveResult(result),
      );
    });
  }

  /** Finds the result of an executed key. */
  find(key: ActionKey): string | undefined {
    const execution = this.executions.find(one => one.key === key);
    return execution && formatResult(key, execution.digest);
  }
}

/** Formats the result of an action. */
export function formatResult(key: ActionKey, digest: string): string {
  return `done ${key} ${digest}`;
}
