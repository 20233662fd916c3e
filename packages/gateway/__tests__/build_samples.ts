import type {FailureCause} from '@zinniaspindle/decisions';
import type * as decisions from '@zinniaspindle/decisions';
import {Topic} from '../src/ports/index.js';
import type * as messages from '../src/peers/messages.js';
import type {
  Heartbeat,
  PeerMessage,
  RecordRow,
  TopicSnapshot,
} from '../src/peers/messages.js';

/** What samples are made with, of the build whose messages they are. */
export type SampleModules = typeof messages &
  Pick<typeof decisions, 'FailureCause' | 'formatQuarantine'>;

/** A message and the name by which both builds know it. */
export interface Sample {
  readonly name: string;
  readonly message: PeerMessage;
}

/** Enough rows for them to be compressed. */
const manyRows = 80;
const rowBytes = 90;
const sentAt = 1_796_435_600_123.25;
const bornAt = 1_796_435_000_007;
const id = 'i-7f3a91c2';

/** Quarantines: one in force, one lifted, and one without a further trial. */
export const sampleQuarantines: readonly decisions.Quarantine[] = [
  {
    ...{service: 'letters', parts: ['5c1e07a2', '91bd3f06'], revision: 3},
    ...{isLifted: false, since: bornAt, trials: 1, nextTrialAt: sentAt},
  },
  {
    ...{service: 'letters', parts: ['e4402b7d'], revision: 2},
    ...{isLifted: true, since: bornAt, trials: 0, nextTrialAt: bornAt},
  },
  {
    ...{service: 'orders', parts: ['request:aa'], revision: 5},
    ...{isLifted: false, since: bornAt, trials: 2, nextTrialAt: Infinity},
  },
];

function makeRows(count: number): RecordRow[] {
  const rows: RecordRow[] = [['removed', null, 7]];
  for (let i = 0; i < count; i += 1) {
    rows.push([`key-${i}`, Buffer.alloc(rowBytes, `value ${i} é`), i + 8]);
  }
  return rows;
}

function listRecordSamples({PeerMessageKind}: SampleModules): Sample[] {
  const topic = Topic.Endpoints as const;
  const head = {topic, next: 88, sentAt};
  const changes = {kind: PeerMessageKind.Records, ...head, from: 7} as const;
  const newest: Omit<TopicSnapshot, 'rows'> = {
    ...{kind: PeerMessageKind.Snapshot, ...head},
    ...{topic: Topic.Configuration, ageMilliseconds: 12},
  };
  return [
    {name: 'records', message: {...changes, era: 4, rows: makeRows(2)}},
    {name: 'records without era', message: {...changes, rows: makeRows(1)}},
    {
      name: 'many records',
      message: {...changes, era: 4, rows: makeRows(manyRows)},
    },
    {name: 'snapshot', message: {...newest, era: 0, rows: makeRows(2)}},
    {name: 'snapshot without era', message: {...newest, rows: []}},
    {
      name: 'large snapshot',
      message: {...newest, era: 0, rows: makeRows(manyRows)},
    },
    {
      name: 'request for a snapshot',
      message: {kind: PeerMessageKind.SnapshotRequest, topic},
    },
  ];
}

function listHeartbeatSamples(modules: SampleModules): Sample[] {
  const {PeerMessageKind, PeerPhase, formatQuarantine} = modules;
  const heartbeat: Heartbeat = {
    ...{kind: PeerMessageKind.Heartbeat, isOwner: true, sentAt},
    ...{canRead: false, phase: PeerPhase.Ready, storeEra: 4},
    topics: [
      {topic: Topic.Configuration, era: 4, next: 3, ageMilliseconds: 250},
      {topic: Topic.Endpoints, era: undefined, next: 0, ageMilliseconds: 9},
    ],
    loads: [
      [3_912_345_678, id, 12, 48_213],
      [7, 'e2', 0, 0],
    ],
    quarantines: sampleQuarantines.map(formatQuarantine),
  };
  const starting: Heartbeat = {
    ...{...heartbeat, phase: PeerPhase.Starting, isOwner: false},
    ...{canRead: true, storeEra: undefined, topics: [], loads: []},
    quarantines: [],
  };
  return [
    {name: 'heartbeat', message: heartbeat},
    {name: 'heartbeat of a VM that starts', message: starting},
    {
      name: 'heartbeat of a VM that leaves',
      message: {...heartbeat, phase: PeerPhase.Leaving, quarantines: []},
    },
    {
      name: 'heartbeat with demands',
      message: {...heartbeat, demands: [[3_912_345_678, 2, 1, 40, 52, 7]]},
    },
  ];
}

function listSuspicionSamples(modules: SampleModules): Sample[] {
  const {PeerMessageKind, FailureCause} = modules;
  const samples: Sample[] = [];
  for (const cause of Object.values<FailureCause>(FailureCause)) {
    samples.push({
      name: `suspicion: ${cause}`,
      message: {kind: PeerMessageKind.Suspicion, id, bornAt, cause},
    });
  }
  const ended = {
    ...{service: 'letters', sentAt, ageMilliseconds: 31},
    attempts: [
      ['9c41d07be2a35f68', ['request:aa', '5c1e07a2'], 870],
      ['a334a27dbe873b8c', [], 0],
    ] as const,
  };
  return [
    ...samples,
    {
      name: 'endpoint that leaves',
      message: modules.makeLeavingMessage({id, bornAt}),
    },
    {
      name: 'endpoint that ended under requests',
      message: modules.makeEndedMessage({id, bornAt}, ended),
    },
  ];
}

function listRefutationSamples(modules: SampleModules): Sample[] {
  const {makeLimitedMessage} = modules;
  const limited = {id, bornAt, sentAt, perSecond: 37.5};
  const kind = modules.PeerMessageKind.Refutation;
  const parts = [['5c1e07a2', 14] as const];
  return [
    {name: 'refutation', message: {kind, id, bornAt}},
    {
      name: 'answered parts',
      message: modules.makeAnsweredMessage({
        ...{service: 'letters', sentAt, parts},
      }),
    },
    {name: 'limit', message: makeLimitedMessage(limited)},
    {
      name: 'end of a limit',
      message: makeLimitedMessage({...limited, perSecond: null}),
    },
    {
      name: 'pause',
      message: modules.makePausedMessage({id, bornAt, milliseconds: 1500}),
    },
    {
      name: 'order before it is sent',
      message: modules.makeAnnouncedMessage({
        ...{id, bornAt, orderCount: 3},
        ...{range: {first: 40, end: 80}, cutsRequests: true},
      }),
    },
  ];
}

/** Lists messages of each kind, in all the forms that VMs send. */
export function listSamples(modules: SampleModules): Sample[] {
  const {PeerMessageKind} = modules;
  const facts = {id, bornAt, orderCount: 2, held: {first: 0, end: 40}};
  const noLayers = {...facts, held: undefined};
  return [
    {
      name: 'greeting',
      message: {
        ...{kind: PeerMessageKind.Hello, vm: 'front-akl-a-1'},
        ...{startedAt: sentAt, peerAddress: '10.1.0.40:8229'},
        ...{callerAddress: '10.1.0.40:8227', linkMegabits: 490},
        known: ['10.1.0.41:8229', '10.2.0.40:8229'],
      },
    },
    ...listHeartbeatSamples(modules),
    ...listRecordSamples(modules),
    ...listSuspicionSamples(modules),
    ...listRefutationSamples(modules),
    {name: 'facts', message: {kind: PeerMessageKind.Facts, facts}},
    {
      name: 'facts without layers',
      message: {kind: PeerMessageKind.Facts, facts: noLayers},
    },
    {
      name: 'order',
      message: {
        ...{kind: PeerMessageKind.Order, id, bornAt, orderCount: 3},
        ...{range: {first: 40, end: 80}, cutsRequests: true},
      },
    },
    {
      name: 'order that lets requests finish',
      message: {
        ...{kind: PeerMessageKind.Order, id, bornAt, orderCount: 3},
        ...{range: {first: 40, end: 80}, cutsRequests: true},
        waitsForRequests: true,
      },
    },
    {
      name: 'connection to pass on',
      message: modules.makeRelayRequest(id, '9c41d07be2a35f68'),
    },
  ];
}
