import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {isDeepStrictEqual} from 'node:util';
import {format, resolveConfig} from 'prettier';
import * as decisions from '../packages/decisions/src/index.js';
import * as codec from '../packages/gateway/src/peers/message_codec.js';
import * as messages from '../packages/gateway/src/peers/messages.js';
import {listSamples} from '../packages/gateway/__tests__/build_samples.js';
import {
  recordTraces,
  type BuildModules,
} from '../packages/gateway/__tests__/build_traces.js';
import {recordStoreCalls} from '../platform/__tests__/store_calls.js';
import type * as storeClient from '../platform/src/store_client.js';

/*
 * Writes what an earlier build sends to other VMs and to the store, for the tests
 * that compare this build with it. It takes the folder of a checkout of that build,
 * with its packages, and the name of its commit:
 *
 *   node --import tsx scripts/write_build_traces.ts FOLDER COMMIT
 *
 * It also prints which of this build's frames that build cannot decode.
 */

const modulePaths = [
  'packages/decisions/src/index.ts',
  'packages/framing/src/index.ts',
  'packages/gateway/src/orders/ownership.ts',
  'packages/gateway/src/peers/compute_rank.ts',
  'packages/gateway/src/peers/message_codec.ts',
  'packages/gateway/src/peers/messages.ts',
  'packages/gateway/src/quarantine/quarantine_keeper.ts',
  'packages/gateway/src/requests/request_hash.ts',
  'packages/gateway/src/root/address_publisher.ts',
];
const tracesFile = 'packages/gateway/__tests__/fixtures/build_before.json';
const callsFile = 'platform/__tests__/fixtures/build_before.json';

function importFrom(folder: string, file: string): Promise<unknown> {
  return import(pathToFileURL(path.resolve(folder, file)).href);
}

async function writeJson(file: string, value: object): Promise<void> {
  const options = {...(await resolveConfig(file)), filepath: file};
  writeFileSync(file, await format(JSON.stringify(value), options));
}

/** Prints the frames of this build that another build decodes to another value. */
function printUnread({decodeMessage, decodeBody}: BuildModules): void {
  let unread = 0;
  for (const {name, message} of listSamples({...decisions, ...messages})) {
    const frame = codec.encodeMessage(message);
    const decoded = decodeMessage(decodeBody(frame.subarray(4)));
    if (decoded.isOk && isDeepStrictEqual(decoded.value, message)) continue;
    unread += 1;
    console.log(`not read: ${name}: ${JSON.stringify(decoded)}`);
  }
  console.log(`${unread} frames are not read by that build`);
}

const [folder, commit] = process.argv.slice(2);
if (folder === undefined || commit === undefined) {
  throw new Error('usage: write_build_traces.ts FOLDER COMMIT');
}
const parts: object[] = [];
for (const file of modulePaths) {
  parts.push((await importFrom(folder, file)) as object);
}
const modules = Object.assign({}, ...parts) as BuildModules;
const client = (await importFrom(
  folder,
  'platform/src/store_client.ts',
)) as typeof storeClient;
await writeJson(tracesFile, {commit, ...(await recordTraces(modules))});
const calls = await recordStoreCalls(client.StoreClient);
await writeJson(callsFile, {commit, calls});
printUnread(modules);
