import type {Deadline} from '@zinniaspindle/shared';
import type {SubmitToken} from './journal_types.js';
import type {RecordBody} from './records.js';

/** A request to the journal to append a record before a deadline. */
export interface RecordSubmission {
  /** Unique among all modules of one VM. */
  readonly token: SubmitToken;
  readonly body: RecordBody;
  readonly giveUpAt: Deadline;
}
