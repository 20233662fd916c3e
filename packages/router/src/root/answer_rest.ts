import {CallerError, CallerErrorCode, toProblem} from '../callers/errors.js';
import {sendProblem} from '../http/answers.js';
import type {EventLoop} from '../loop/event_loop.js';
import type {EntryVm} from './entry_vm.js';

/** Answers every caller of a VM that ends; requests and actions by their fate. */
export function answerRest(vm: EntryVm, loop: EventLoop): void {
  vm.requestHost.answerAll();
  vm.actions.answerAll();
  const detail = `entry VM "${vm.vm}" stops before the outcome is known`;
  const error = new CallerError(CallerErrorCode.Stopping, detail);
  // Runs after the answers above, which the loop has yet to give.
  loop.run(() => {
    for (const response of vm.calls.list()) {
      sendProblem(response, toProblem(error));
    }
  });
}
