/**
 * Measures membership traffic: many VMs in virtual time, each message encoded
 * by cbor-x, the processor time of the decisions and of the codec taken.
 *
 *   node --import tsx packages/scenarios/bench/membership_bench.ts [--records] [vms ...]
 */
import type {
  MembershipCommand,
  MembershipInput,
  MembershipOptions,
  PeerMessage,
  VmDigest,
} from '@zinniaspindle/decisions';
import {
  chooseWatchers,
  decideMembership,
  defaultMembershipOptions,
  LeavingSource,
  makeMembershipState,
  MembershipCommandKind,
  MembershipEventKind,
  PeerMessageKind,
  PeerState,
} from '@zinniaspindle/decisions';
import type {
  AccountId,
  DataCentreId,
  EndpointId,
  LoadReport,
  VmId,
} from '@zinniaspindle/shared';
import {ListedPurpose, ListedState, toId} from '@zinniaspindle/shared';
import {Decoder, Encoder} from 'cbor-x';
import {makeSeededRandom, VirtualClock} from '../src/index.js';

/** Length, and the envelope that names the area of a message. */
const frameBytes = 4 + 28;
const joinSeconds = 5;
const warmUpSeconds = 6;
const measuredSeconds = 10;
const watchersPerEndpoint = 2;
const pollSeconds = 1;

/** The size of a fleet and of what stands behind it. */
interface Size {
  readonly vms: number;
  readonly regions: number;
  readonly dataCentres: number;
  readonly endpoints: number;
  readonly accounts: number;
}

const sizes: readonly Size[] = [
  {vms: 4, regions: 1, dataCentres: 3, endpoints: 40, accounts: 10},
  {vms: 15, regions: 1, dataCentres: 3, endpoints: 40, accounts: 10},
  {vms: 50, regions: 2, dataCentres: 4, endpoints: 1800, accounts: 60},
  {vms: 100, regions: 4, dataCentres: 8, endpoints: 3600, accounts: 100},
  {vms: 340, regions: 12, dataCentres: 26, endpoints: 12_000, accounts: 230},
];

/** Counts over the measured time. */
interface Tally {
  messages: number;
  bytes: number;
  readonly bytesByKind: Map<string, number>;
  decideNanoseconds: bigint;
  codecNanoseconds: bigint;
}

interface BenchVm {
  readonly id: VmId;
  readonly region: number;
  readonly endpoints: readonly EndpointId[];
  readonly watched: readonly EndpointId[];
  readonly running: Map<EndpointId, number>;
  readonly state: ReturnType<typeof makeMembershipState>;
  alive: boolean;
}

const records = process.argv.includes('--records');
const codecOptions = records ? {structures: []} : {useRecords: false};
const encoder = new Encoder(codecOptions);
const decoder = records ? encoder : new Decoder(codecOptions);

class Bench {
  readonly clock = new VirtualClock(1_700_000_000_000);
  readonly random = makeSeededRandom(7);
  readonly vms: BenchVm[] = [];
  readonly tally: Tally = {
    messages: 0,
    bytes: 0,
    bytesByKind: new Map(),
    decideNanoseconds: 0n,
    codecNanoseconds: 0n,
  };
  readonly deadAfter: number[] = [];
  readonly heardLeavingAfter: number[] = [];
  private killed: {id: VmId; at: number} | undefined;
  private leavingAt = 0;
  private readonly byAddress = new Map<string, BenchVm>();

  constructor(readonly size: Size) {
    const options: MembershipOptions = {
      ...defaultMembershipOptions,
      getRegion: dataCentre => this.getRegionName(dataCentre),
    };
    for (let i = 0; i < size.vms; i += 1) this.addVm(i, options);
  }

  run(): void {
    this.startTimers();
    // The news of the joins is let through first; it is no part of the day.
    this.runSeconds(joinSeconds);
    while (this.vms.some(v => v.state.gossipQueue.size > 0)) this.runSeconds(1);
    this.startDigests();
    this.runSeconds(warmUpSeconds);
    this.dropTally();
    this.runSeconds(measuredSeconds);
  }

  /** Kills a VM and gathers when each other one holds it dead. */
  measureDetection(): void {
    const victim = this.vms[1]!;
    victim.alive = false;
    this.killed = {id: victim.id, at: this.clock.now};
    this.runSeconds(15);
  }

  /** Lets one VM hear that an endpoint leaves. */
  measureLeaving(): void {
    this.leavingAt = this.clock.now;
    this.decide(this.vms[0]!, {
      kind: MembershipEventKind.EndpointLeavingSeen,
      endpoint: toId<EndpointId>('e-00001'),
      source: LeavingSource.Engine,
      time: this.clock.now,
    });
    this.runSeconds(5);
  }

  private runSeconds(seconds: number): void {
    this.clock.runUntil(this.clock.now + seconds * 1000);
  }

  private dropTally(): void {
    this.tally.messages = 0;
    this.tally.bytes = 0;
    this.tally.bytesByKind.clear();
    this.tally.decideNanoseconds = 0n;
    this.tally.codecNanoseconds = 0n;
  }

  private getRegionName(dataCentre: DataCentreId): string {
    const number = Number(dataCentre.slice(2));
    return `region-${number % this.size.regions}`;
  }

  private addVm(number: number, options: MembershipOptions): void {
    const {size} = this;
    const id = toId<VmId>(`entry-${String(number).padStart(4, '0')}`);
    const place = number % size.dataCentres;
    const region = place % size.regions;
    const endpoints: EndpointId[] = [];
    for (let i = region; i < size.endpoints; i += size.regions) {
      endpoints.push(toId(`e-${String(i).padStart(5, '0')}`));
    }
    const identity = {
      vm: id,
      startedAt: this.clock.now + number,
      peerAddress: `10.${region}.${number >> 8}.${number & 255}:7070`,
      address: `10.${region}.${number >> 8}.${number & 255}:8080`,
      dataCentre: toId<DataCentreId>(`dc${place}`),
    };
    const vm: BenchVm = {
      id,
      region,
      endpoints,
      watched: this.chooseWatched(region, id, endpoints),
      running: new Map(),
      state: makeMembershipState(identity, options, this.clock.now),
      alive: true,
    };
    this.vms.push(vm);
    this.byAddress.set(identity.peerAddress, vm);
  }

  /** Small fleets poll at every VM, and then spread no reports. */
  private chooseWatched(
    region: number,
    id: VmId,
    endpoints: readonly EndpointId[],
  ): EndpointId[] {
    const {size} = this;
    if (size.vms <= defaultMembershipOptions.largeRegionVms) return [];
    const names: VmId[] = [];
    for (let i = 0; i < size.vms; i += 1) {
      const other = (i % size.dataCentres) % size.regions;
      if (other !== region) continue;
      names.push(toId(`entry-${String(i).padStart(4, '0')}`));
    }
    return endpoints.filter(endpoint =>
      chooseWatchers(endpoint, names, watchersPerEndpoint).includes(id),
    );
  }

  private startTimers(): void {
    const listed = this.vms.map(vm => ({
      id: vm.id,
      purpose: ListedPurpose.Entry,
      state: ListedState.Live,
      dataCentre: vm.state.self.dataCentre,
      address: vm.state.self.address,
      peerAddress: vm.state.self.peerAddress,
    }));
    for (const vm of this.vms) {
      this.decide(vm, {kind: MembershipEventKind.ListRead, vms: listed});
      this.runEvery(vm, 100, () =>
        this.decide(vm, {kind: MembershipEventKind.Tick}),
      );
    }
  }

  private startDigests(): void {
    for (const vm of this.vms) {
      this.runEvery(vm, 500, () => {
        const digest = this.makeDigest(vm);
        this.decide(vm, {kind: MembershipEventKind.LocalDigest, digest});
      });
    }
  }

  private runEvery(vm: BenchVm, milliseconds: number, run: () => void): void {
    const runOnce = () => {
      if (!vm.alive) return;
      run();
      this.clock.runAfter(milliseconds, runOnce);
    };
    this.clock.runAfter(this.random() * milliseconds, runOnce);
  }

  /** A busy VM: half of its endpoints' counts change each second. */
  private makeDigest(vm: BenchVm): VmDigest {
    for (const endpoint of vm.endpoints) {
      const count = vm.running.get(endpoint);
      if (count !== undefined && this.random() > 0.25) continue;
      vm.running.set(endpoint, Math.floor(this.random() * 8));
    }
    const {now} = this.clock;
    const polled = Math.floor(now / 1000 / pollSeconds) * 1000 * pollSeconds;
    return {
      vm: vm.id,
      time: now,
      ready: true,
      leaving: false,
      load: this.random(),
      nextOffset: 1_000_000 + Math.floor(now / 1000),
      demands: Array.from({length: this.size.accounts}, (_, i) => ({
        account: toId<AccountId>(`account-${i}`),
        tokensPerSecond: Math.floor(this.random() * 400),
      })),
      uses: [...vm.running].map(([endpoint, running]) => ({
        endpoint,
        running,
        prefillTokens: running * 100,
      })),
      reports: vm.watched.map(endpoint => this.makeReport(endpoint, polled)),
      leavingEndpoints: [],
      failingEndpoints: [],
    };
  }

  private makeReport(endpoint: EndpointId, time: number): LoadReport {
    return {
      endpoint,
      time,
      running: Math.floor(this.random() * 32),
      queued: Math.floor(this.random() * 4),
      queuedPrefillTokens: Math.floor(this.random() * 4000),
      leaving: false,
    };
  }

  private decide(vm: BenchVm, event: MembershipInput): void {
    const started = process.hrtime.bigint();
    const result = decideMembership(
      vm.state,
      event,
      this.clock.now,
      this.random,
    );
    this.tally.decideNanoseconds += process.hrtime.bigint() - started;
    if (result.isErr) throw result.error;
    for (const command of result.value.commands) this.runCommand(command);
  }

  private runCommand(command: MembershipCommand): void {
    switch (command.kind) {
      case MembershipCommandKind.Send:
        this.sendMessage(command.to, command.message);
        return;
      case MembershipCommandKind.PeerChanged:
        if (
          command.state === PeerState.Dead &&
          command.peer.vm === this.killed?.id
        ) {
          this.deadAfter.push(this.clock.now - this.killed.at);
        }
        return;
      case MembershipCommandKind.EndpointLeaving:
        this.heardLeavingAfter.push(this.clock.now - this.leavingAt);
        return;
      case MembershipCommandKind.DigestReceived:
      case MembershipCommandKind.EndpointStaying:
      case MembershipCommandKind.OwnRunSuperseded:
      case MembershipCommandKind.PeerRemoved:
      case MembershipCommandKind.RegionDigestReceived:
    }
  }

  private sendMessage(address: string, message: PeerMessage): void {
    const started = process.hrtime.bigint();
    const bytes = encoder.encode(message);
    const decoded = decoder.decode(bytes) as PeerMessage;
    this.tally.codecNanoseconds += process.hrtime.bigint() - started;
    this.tally.messages += 1;
    this.tally.bytes += bytes.length + frameBytes;
    const kind = message.kind;
    const before = this.tally.bytesByKind.get(kind) ?? 0;
    this.tally.bytesByKind.set(kind, before + bytes.length + frameBytes);
    const to = this.byAddress.get(address)!;
    const delay = 1 + this.random() * 20;
    this.clock.runAfter(delay, () => {
      if (!to.alive) return;
      const event = MembershipEventKind.MessageReceived;
      this.decide(to, {kind: event, from: address, message: decoded});
    });
  }
}

function getPercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return Math.round(sorted[Math.floor((sorted.length - 1) * share)] ?? NaN);
}

function printSize(size: Size): void {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const bench = new Bench(size);
  bench.run();
  const {tally} = bench;
  const share = size.vms * measuredSeconds;
  const toRate = (value: number) => (value / share).toFixed(1);
  const toShare = (nanoseconds: bigint) =>
    ((Number(nanoseconds) / 1e9 / share) * 100).toFixed(3);
  globalThis.gc?.();
  const heap = (process.memoryUsage().heapUsed - before) / size.vms / 1e6;
  console.log(
    `${size.vms} VMs, ${size.endpoints} endpoints, ${size.regions} regions: ` +
      `${toRate(tally.messages)} messages/s and ` +
      `${toRate(tally.bytes)} bytes/s sent a VM; ` +
      `decisions ${toShare(tally.decideNanoseconds)}% and ` +
      `codec ${toShare(tally.codecNanoseconds)}% of a core a VM; ` +
      `${heap.toFixed(2)} MB a VM`,
  );
  for (const kind of Object.values(PeerMessageKind)) {
    const bytes = tally.bytesByKind.get(kind) ?? 0;
    console.log(`  ${kind}: ${toRate(bytes)} bytes/s`);
  }
  bench.measureLeaving();
  const known = bench.heardLeavingAfter;
  console.log(
    `  endpoint leaving known to ${known.length} VMs: median ` +
      `${getPercentile(known, 0.5)} ms, last ${getPercentile(known, 1)} ms`,
  );
  bench.measureDetection();
  const dead = bench.deadAfter;
  console.log(
    `  death held by ${dead.length} VMs: first ${getPercentile(dead, 0)} ms, ` +
      `median ${getPercentile(dead, 0.5)} ms, last ${getPercentile(dead, 1)} ms`,
  );
}

const wanted = process.argv.slice(2).map(Number).filter(Number.isFinite);
for (const size of sizes) {
  if (wanted.length > 0 && !wanted.includes(size.vms)) continue;
  printSize(size);
}
