import {type ChildProcess, spawn} from 'node:child_process';
import {createInterface, type Interface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {makeUnreachable} from './errors.js';
import {dropWork, type WorkRecord} from './hooks.js';
import type {StandIn} from './http/json_server.js';
import type {StandInKind, StandInSetup} from './start_stand_in.js';

/** A stand-in in a process of its own. */
export interface StandInProcess extends StandIn {
  readonly child: ChildProcess;
}

/** Starts a stand-in as a process and waits until it listens. */
export async function startStandInProcess(
  kind: StandInKind,
  setup: StandInSetup,
  recordWork: (work: WorkRecord) => void = dropWork,
): Promise<StandInProcess> {
  const {port = 0, ...rest} = setup;
  const mainFile = fileURLToPath(new URL('./main.ts', import.meta.url));
  const child = spawn(
    process.execPath,
    ['--import', 'tsx', mainFile, kind, String(port), JSON.stringify(rest)],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  const lines = createInterface({input: child.stdout});
  const address = await readAddress(kind, lines);
  lines.on('line', line => recordWork(JSON.parse(line) as WorkRecord));
  return {address, child, stop: () => stopChild(child)};
}

function readAddress(kind: StandInKind, lines: Interface): Promise<string> {
  return new Promise((resolve, reject) => {
    const detail = 'the process ended before it listened';
    lines.once('close', () => reject(makeUnreachable(kind, detail)));
    lines.once('line', line => {
      resolve((JSON.parse(line) as {address: string}).address);
    });
  });
}

/** Kills a child process and waits until it has ended. */
export function stopChild(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve();
  }
  return new Promise(resolve => {
    child.once('exit', () => resolve());
    child.kill('SIGKILL');
  });
}
