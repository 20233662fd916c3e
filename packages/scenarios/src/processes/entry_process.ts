import {type ChildProcess, spawn} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {reservePort} from '@zinniaspindle/stand-ins';

const loopback = '127.0.0.1';
const defaultMaxInFlight = 4000;
const mainFile = fileURLToPath(
  new URL('../../../cli/src/main.ts', import.meta.url),
);

/** An entry VM as a process of its own. */
export interface EntryProcess {
  readonly name: string;
  readonly dataCentre: string;
  /** host:port for callers. */
  readonly address: string;
  /** host:port for peers. */
  readonly peerAddress: string;
  readonly child: ChildProcess;
}

/** Where an entry VM finds the platform, and who may publish first. */
export interface EntrySetup {
  readonly name: string;
  readonly dataCentre: string;
  readonly log: string;
  readonly vmList: string;
  readonly retentionMilliseconds: number;
  readonly operatorDigest: string;
  /** Takes the log lines; only errors are logged, and dropped, without it. */
  readonly handleLine?: (line: string) => void;
  /** Requests that it runs at once. */
  readonly maxInFlight?: number;
  /** Folder for the settings file. */
  readonly directory: string;
}

/** Starts an entry VM; does not wait until it is ready. */
export async function startEntryProcess(
  setup: EntrySetup,
): Promise<EntryProcess> {
  const {name, dataCentre} = setup;
  const address = `${loopback}:${await reservePort()}`;
  const peerAddress = `${loopback}:${await reservePort()}`;
  const file = path.join(setup.directory, `${name}.ini`);
  writeFileSync(file, formatSettings(setup, address, peerAddress));
  const child = spawn(
    process.execPath,
    ['--import', 'tsx', mainFile, 'run', '--settings', file],
    {stdio: ['ignore', setup.handleLine ? 'pipe' : 'ignore', 'inherit']},
  );
  if (setup.handleLine !== undefined) {
    createInterface({input: child.stdout!}).on('line', setup.handleLine);
  }
  return {name, dataCentre, address, peerAddress, child};
}

function formatSettings(
  setup: EntrySetup,
  address: string,
  peerAddress: string,
): string {
  return `[vm]
id = ${setup.name}
dataCentre = ${setup.dataCentre}

[callers]
listen = ${address}
entryLifetimeMilliseconds = 2000

[peers]
listen = ${peerAddress}

[platform]
log = ${setup.log}
vmList = ${setup.vmList}
retentionMilliseconds = ${setup.retentionMilliseconds}

[operators]
bootstrapTokenDigest = ${setup.operatorDigest}

[policy]
maxInFlight = ${setup.maxInFlight ?? defaultMaxInFlight}

[logging]
level = ${setup.handleLine ? 'info' : 'error'}
`;
}
