import {writeSync} from 'node:fs';
import {Command} from 'commander';
import {startStandIn, StandInKind} from './start_stand_in.js';

const standardOutput = 1;

/** Writes a line at once, so that a kill afterwards does not lose it. */
function printLine(value: unknown): void {
  writeSync(standardOutput, `${JSON.stringify(value)}\n`);
}

/**
 * Runs one stand-in as a process. Prints its address as one line of JSON,
 * then one line for each piece of work that it has done.
 */
const command = new Command('stand-in')
  .description('run one stand-in on the loopback address')
  .argument('<kind>', `one of ${Object.values(StandInKind).join(', ')}`)
  .argument('[port]', 'port to listen on, 0 for any', '0')
  .argument('[options]', 'options as a JSON object', '{}')
  .action(async (kind: string, port: string, options: string) => {
    const setup = JSON.parse(options) as Readonly<Record<string, unknown>>;
    const standIn = await startStandIn(
      kind as StandInKind,
      {...setup, port: Number(port)},
      {handleCrash: () => process.exit(1), recordWork: printLine},
    );
    printLine({address: standIn.address});
  });

await command.parseAsync();
