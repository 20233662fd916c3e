import {v7 as makeUuidV7} from 'uuid';
import {startFleet} from '@zinniaspindle/stand-ins';
import type {Fleet} from '@zinniaspindle/stand-ins';
import type {Command} from 'commander';
import {startEntryFleet} from '../demo/entry_fleet.js';
import type {EntryFleet} from '../demo/entry_fleet.js';
import {findToken, publishFleet} from '../demo/publish_fleet.js';
import {waitReady} from '../demo/wait_ready.js';
import {fetchJson} from '../entry_client.js';
import {sendRequest} from '../send_request.js';

const entryCount = 3;
const startMilliseconds = 30_000;
const demoTokens = 24;
const demoCaller = 'practice';

/** Adds the command that shows the whole path on stand-ins. */
export function addDemoCommand(program: Command): void {
  program
    .command('demo')
    .description('run entry VMs before stand-ins and stream an answer')
    .action(runDemo);
}

async function runDemo(): Promise<void> {
  const fleet = await startFleet();
  console.log(`stand-ins: ${fleet.members.map(({name}) => name).join(', ')}`);
  const entryFleet = await startEntryFleet(fleet, entryCount);
  try {
    await runFleet(fleet, entryFleet);
  } finally {
    await entryFleet.stop();
    await fleet.stop();
  }
}

async function runFleet(fleet: Fleet, entryFleet: EntryFleet): Promise<void> {
  const deadline = Date.now() + startMilliseconds;
  const {entries} = entryFleet;
  for (const {id, address} of entries) {
    await waitReady(address, 0, deadline);
    console.log(`entry VM ${id} takes callers at ${address}`);
  }
  const [first, second, third] = entries;
  await publishFleet(fleet, first!.address);
  console.log(`published ${fleet.objects.length} objects through ${first!.id}`);
  for (const {address} of entries) {
    await waitReady(address, fleet.objects.length, deadline);
  }
  const token = findToken(fleet, demoCaller);
  console.log(`request through ${second!.id}:`);
  const outcome = await sendRequest(
    {entry: second!.address, token},
    {
      pipeline: 'letters',
      prompt: 'Please draft a renewal letter.',
      maxTokens: demoTokens,
    },
    text => process.stdout.write(text),
  );
  console.log(`\n${outcome.kind}`);
  const answer = await fetchJson(
    {entry: third!.address, token},
    {
      method: 'POST',
      path: '/v1/services/orders/actions',
      headers: {'idempotency-key': makeUuidV7()},
      body: {action: 'ship', body: {order: 1}},
    },
  );
  console.log(`action through ${third!.id}: ${JSON.stringify(answer)}`);
}
