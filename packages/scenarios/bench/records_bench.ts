/**
 * Measures what one request costs in request records: messages, bytes, the
 * processor time of the decisions and of the codec, and memory at a holder.
 *
 *   node --import tsx packages/scenarios/bench/records_bench.ts
 */
import type {
  RecordInput,
  RecordMessage,
  RecordState,
  RequestRecord,
} from '@zinniaspindle/decisions';
import {
  decideRecords,
  defaultRecordOptions,
  createRecordState,
  RecordCommandKind,
  RecordEventKind,
} from '@zinniaspindle/decisions';
import type {DataCentreId, RequestId, VmId} from '@zinniaspindle/shared';
import {toId} from '@zinniaspindle/shared';
import {decode, encode} from 'cbor-x';
import {getVmName} from '../src/index.js';

const requests = 20_000;
const stages = 4;
const start = 1_700_000_000_000;
const vms = 9;

const states = new Map<VmId, RecordState>();
let messages = 0;
let bytes = 0;

function makeStates(): void {
  const peers = Array.from({length: vms}, (_, i) => ({
    vm: getVmName(i),
    dataCentre: toId<DataCentreId>(`dc${i % 3}`),
  }));
  for (const self of peers) {
    const options = {...defaultRecordOptions, maxHeldBytes: 1024 ** 3};
    const state = createRecordState(self, options);
    state.peers = peers.filter(peer => peer !== self);
    states.set(self.vm, state);
  }
}

function makeRecord(number: number, owner: VmId, prompt: string) {
  const record: RequestRecord = {
    spec: {
      id: toId<RequestId>(`request-${number}`),
      account: toId('lens-calls'),
      pipeline: toId('letters'),
      model: toId('model-a'),
      layerCount: 64,
      generation: {prompt, maxTokens: 330, sampling: {temperature: 0.7}},
      priority: 0,
      deadline: start + 60_000,
    },
    owner,
    attempt: 1,
    chain: Array.from({length: stages}, (_, i) => ({
      endpoint: toId(`e-0000${i}`),
      address: `10.0.0.${i}:9000`,
      layers: {first: i * 16, end: i * 16 + 16},
    })),
    given: [],
  };
  return record;
}

function sendEvent(to: VmId, event: RecordInput): void {
  const result = decideRecords(states.get(to)!, event, start, () => 0.5);
  if (result.isErr) throw result.error;
  for (const command of result.value.commands) {
    if (command.kind !== RecordCommandKind.Send) continue;
    const body = encode(command.message);
    messages += 1;
    bytes += body.length;
    const message = decode(body) as RecordMessage;
    sendEvent(command.to, {kind: RecordEventKind.MessageReceived, message});
  }
}

function runRequests(promptBytes: number): void {
  makeStates();
  messages = 0;
  bytes = 0;
  const prompt = 'x'.repeat(promptBytes);
  const before = process.cpuUsage();
  for (let i = 0; i < requests; i += 1) {
    const owner = getVmName(i % vms);
    const record = makeRecord(i, owner, prompt);
    sendEvent(owner, {kind: RecordEventKind.StoreRequested, record});
    const request = record.spec.id;
    sendEvent(owner, {kind: RecordEventKind.ReleaseRequested, request});
  }
  const {user, system} = process.cpuUsage(before);
  console.log(
    `prompt of ${promptBytes} bytes: ${messages / requests} messages, ` +
      `${Math.round(bytes / requests)} bytes and ` +
      `${((user + system) / requests).toFixed(1)} µs of processor time, ` +
      'owner and both holders together, a request',
  );
}

for (const promptBytes of [200, 200, 2000, 20_000]) runRequests(promptBytes);
