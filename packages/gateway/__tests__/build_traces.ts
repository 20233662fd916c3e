import type * as decisions from '@zinniaspindle/decisions';
import type * as framing from '@zinniaspindle/framing';
import {Result} from 'true-myth';
import type * as rank from '../src/peers/compute_rank.js';
import type * as codec from '../src/peers/message_codec.js';
import type * as messages from '../src/peers/messages.js';
import type * as keeper from '../src/quarantine/quarantine_keeper.js';
import type * as ownership from '../src/orders/ownership.js';
import type * as hashes from '../src/requests/request_hash.js';
import type * as publisher from '../src/root/address_publisher.js';
import {EraWatch} from '../src/following/era_watch.js';
import {Metrics} from '../src/log/metrics.js';
import type {CallerRequest, Store} from '../src/ports/index.js';
import {listSamples, sampleQuarantines} from './build_samples.js';

/** The modules of a build that make what other VMs and later builds read. */
export type BuildModules = Omit<typeof decisions, keyof typeof messages> &
  typeof codec &
  typeof framing &
  typeof hashes &
  typeof keeper &
  typeof messages &
  typeof ownership &
  typeof publisher &
  typeof rank;

/** What a build writes to the store; bytes are in base64. */
export interface StoreWrite {
  readonly topic: string;
  readonly key: string;
  readonly value: string;
}

/** What a build sends, writes and computes for the same inputs. */
export interface BuildTraces {
  readonly kinds: readonly string[];
  readonly relayOutcomes: readonly string[];
  /** In bytes. */
  readonly limits: {readonly greeting: number; readonly frame: number};
  /** Frames by the names of the samples, in base64. */
  readonly frames: Readonly<Record<string, string>>;
  /** The frame of a value with all types that messages have, in base64. */
  readonly plainFrame: string;
  readonly writes: readonly StoreWrite[];
  /** Arguments of the calls that claim and release the ownership. */
  readonly claims: readonly (readonly unknown[])[];
  /** Values that all VMs have to compute alike, by name. */
  readonly agreed: Readonly<Record<string, unknown>>;
}

/** The value of the plain frame. */
export const plainValue = {
  text: 'é',
  flags: [true, false, null, undefined],
  numbers: [0, -1, 23, 255, 65_536, 2 ** 32, 2 ** 40, 0.25, -1e300],
  bytes: Buffer.from([0, 127, 255]),
  nested: {list: [[], {}], 'a key': [['row', 1, [2]]]},
};

const vm = 'front-akl-a-1';
const ownAddress = '10.1.0.40:8229';
const now = 1000;
const getNow = () => now;
const logNothing = () => undefined;
const startedEra = 4;

/** A store that notes what it is asked to keep. */
class NotingStore {
  readonly writes: StoreWrite[] = [];
  readonly claims: (readonly unknown[])[] = [];

  readonly store = {
    readNewest: () =>
      Promise.resolve(Result.ok({records: [], next: 0, era: startedEra})),
    appendRecord: (topic: string, key: string, value: Buffer | undefined) => {
      const text = (value ?? Buffer.alloc(0)).toString('base64');
      this.writes.push({topic, key, value: text});
      return Promise.resolve(Result.ok({era: startedEra}));
    },
    joinOwnerGroup: (...claim: unknown[]) => {
      this.claims.push(['join', ...claim]);
      const view = {generation: 7, isOwner: true, era: startedEra};
      return Promise.resolve(Result.ok(view));
    },
    releaseOwnership: (...claim: unknown[]) => {
      this.claims.push(['release', ...claim]);
      return Promise.resolve(Result.ok());
    },
  } as unknown as Store;
}

function waitForCalls(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

async function recordWrites(modules: BuildModules): Promise<NotingStore> {
  const noting = new NotingStore();
  const eras = new EraWatch(logNothing);
  const metrics = new Metrics();
  const mesh = {countLive: () => 0, addAddress: logNothing};
  new modules.AddressPublisher(
    ...([noting.store, eras, mesh, metrics, vm, ownAddress] as const),
    ...([getNow, () => 0] as const),
  ).poll(0);
  await waitForCalls();
  const rows = sampleQuarantines.map(modules.formatQuarantine);
  const quarantine = {listDue: () => [], listRows: () => rows};
  new modules.QuarantineKeeper(
    quarantine as unknown as ConstructorParameters<
      typeof keeper.QuarantineKeeper
    >[0],
    ...([noting.store, eras, () => true, logNothing, metrics] as const),
    ...([getNow, getNow, true] as const),
  ).poll();
  await waitForCalls();
  const owner = new modules.Ownership(
    ...([noting.store, vm, eras, logNothing, metrics, getNow] as const),
  );
  owner.poll(0, false);
  await waitForCalls();
  await owner.release();
  return noting;
}

/** Computes what VMs must agree on without exchanging it. */
function computeAgreed(modules: BuildModules): BuildTraces['agreed'] {
  const request = {
    ...{host: 'lens.example', path: '/write/item', key: 'key-1'},
    ...{prompt: '40,760', promptParts: ['5c1e07a2']},
  } as unknown as CallerRequest;
  const hash = new modules.RequestHash('POST', request, 'optics');
  hash.addBody(Buffer.from('a body'));
  const vms = ['vm-0', 'vm-1', vm];
  const ranked = vms.map(name => ({
    ...{vm: name, linkMegabits: name === vm ? 490 : 100},
    rankWeight: modules.computeRankWeight(name),
  }));
  const claims = [
    {era: undefined, generation: 0},
    {era: startedEra, generation: 7},
    {era: modules.maxEra, generation: 2 ** 32 - 1},
  ];
  return {
    rankWeights: ranked.map(({rankWeight}) => rankWeight),
    ranks: ranked.map(own =>
      modules.computeRank(
        own,
        ranked.filter(other => other !== own),
      ),
    ),
    pathHashes: ['e1', 'e1=0-4 e2=4-8'].map(modules.hashText),
    traits: modules.listTraits(request, hash.computeDigests()),
    quarantineKeys: sampleQuarantines.map(modules.getQuarantineKey),
    fencingTokens: claims.map(modules.makeFencingToken),
    maxEra: modules.maxEra,
  };
}

/** Records the traces of a build. */
export async function recordTraces(
  modules: BuildModules,
): Promise<BuildTraces> {
  const frames: Record<string, string> = {};
  for (const {name, message} of listSamples(modules)) {
    frames[name] = modules.encodeMessage(message).toString('base64');
  }
  const {kindLimits, IntakeKind} = modules;
  const {writes, claims} = await recordWrites(modules);
  return {
    kinds: Object.values(modules.PeerMessageKind),
    relayOutcomes: Object.values(modules.RelayOutcome),
    limits: {
      greeting: kindLimits[IntakeKind.PeerGreeting].maxItem,
      frame: kindLimits[IntakeKind.PeerFrame].maxItem,
    },
    frames,
    plainFrame: modules.encodeFrame(plainValue).toString('base64'),
    ...{writes, claims},
    agreed: computeAgreed(modules),
  };
}
