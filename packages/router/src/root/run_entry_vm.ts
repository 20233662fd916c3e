import {ProcessEvent, toId} from '@zinniaspindle/shared';
import type {VmId} from '@zinniaspindle/shared';
import {Effect} from 'effect';
import {EventLog} from '../logging/event_log.js';
import {Metrics} from '../metrics/metrics.js';
import type {Settings} from '../settings/read_settings.js';
import {EntryVm} from './entry_vm.js';
import {runTree} from './tree.js';

const maxLinesPerSecond = 200;

/** Runs an entry VM until it is told to stop and has finished its work. */
export function runEntryVm(settings: Settings): Promise<void> {
  const program = Effect.gen(function* () {
    const exit = new ExitSignal();
    const vm = makeEntryVm(settings, () => exit.resolve());
    const startStop = () => {
      const now = vm.options.getNow();
      vm.drain.startStop(now + settings.policy.stopMilliseconds);
    };
    process.on('SIGTERM', startStop);
    process.on('SIGINT', startStop);
    yield* Effect.addFinalizer(() => Effect.sync(() => vm.close()));
    yield* runTree(vm, startStop);
    vm.report([{event: ProcessEvent.Started, fields: {vm: vm.vm}}]);
    yield* Effect.promise(() => exit.done);
    vm.report([{event: ProcessEvent.Stopped, fields: {vm: vm.vm}}]);
  });
  return Effect.runPromise(Effect.scoped(program));
}

/** Tells the process that its VM has stopped. */
class ExitSignal {
  resolve: () => void = () => undefined;
  readonly done = new Promise<void>(resolve => (this.resolve = resolve));
}

function makeEntryVm(settings: Settings, exit: (cut: number) => void): EntryVm {
  const vm = toId<VmId>(settings.vm.id);
  const getNow = () => Date.now();
  const {level, format} = settings.logging;
  return new EntryVm({
    settings,
    log: new EventLog({...{vm, level, format, maxLinesPerSecond, getNow}}),
    metrics: new Metrics({vm, ...settings.metrics}),
    random: Math.random,
    getNow,
    exit,
  });
}
