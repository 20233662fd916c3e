import type {Instant, LogEvent, Random} from '@zinniaspindle/shared';
import type {EventLoop} from './event_loop.js';

/** What every host of a decision needs. */
export interface LoopPorts {
  readonly loop: EventLoop;
  readonly getNow: () => Instant;
  readonly random: Random;
  readonly report: (logEvents: readonly LogEvent[]) => void;
}
