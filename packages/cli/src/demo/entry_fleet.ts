import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {isSea} from 'node:sea';
import {fileURLToPath} from 'node:url';
import {ListedPurpose, ListedState, toId} from '@zinniaspindle/shared';
import type {VmId} from '@zinniaspindle/shared';
import {reservePort, sendControl, stopChild} from '@zinniaspindle/stand-ins';
import type {Fleet} from '@zinniaspindle/stand-ins';
import {hashOperatorToken} from './publish_fleet.js';

/** An entry VM that runs as a process of its own. */
export interface EntryProcess {
  readonly id: string;
  /** host:port for callers. */
  readonly address: string;
  readonly child: ChildProcess;
}

/** Entry VMs before a fleet of stand-ins. */
export interface EntryFleet {
  readonly entries: readonly EntryProcess[];
  stop(): Promise<void>;
}

/** Starts entry VMs, of a binary if given, and puts them on the VM list. */
export async function startEntryFleet(
  fleet: Fleet,
  count: number,
  binary?: string,
): Promise<EntryFleet> {
  const directory = mkdtempSync(path.join(tmpdir(), 'zinniaspindle-'));
  const entries: EntryProcess[] = [];
  for (let number = 1; number <= count; number += 1) {
    entries.push(await startEntry(fleet, directory, number, binary));
  }
  const stop = async () => {
    for (const {child} of entries) await stopChild(child);
    rmSync(directory, {recursive: true});
  };
  return {entries, stop};
}

async function startEntry(
  fleet: Fleet,
  directory: string,
  number: number,
  binary: string | undefined,
): Promise<EntryProcess> {
  const id = `vm${number}`;
  const dataCentre = `dc${number}`;
  const address = `127.0.0.1:${await reservePort()}`;
  const peerAddress = `127.0.0.1:${await reservePort()}`;
  const file = path.join(directory, `${id}.ini`);
  const lines = [
    ...['[vm]', `id=${id}`, `dataCentre=${dataCentre}`],
    ...['[callers]', `listen=${address}`],
    ...['[peers]', `listen=${peerAddress}`],
    ...['[platform]', `log=${fleet.log}`, `vmList=${fleet.vmList}`],
    ...['[operators]', `bootstrapTokenDigest=${hashOperatorToken(fleet)}`],
    ...['[logging]', 'level=warn'],
  ];
  writeFileSync(file, `${lines.join('\n')}\n`);
  const add = {
    ...{id: toId<VmId>(id), dataCentre, address, peerAddress},
    ...{purpose: ListedPurpose.Entry, state: ListedState.Live},
  };
  await sendControl(fleet.vmList, {add});
  const child = spawn(binary ?? process.execPath, listArguments(file, binary), {
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  return {id, address, child};
}

function listArguments(settingsFile: string, binary?: string): string[] {
  const run = ['run', '--settings', settingsFile];
  if (binary !== undefined || isSea()) return run;
  const main = fileURLToPath(new URL('../main.ts', import.meta.url));
  return ['--import', 'tsx', main, ...run];
}
