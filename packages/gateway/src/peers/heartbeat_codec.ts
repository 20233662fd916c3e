import {
  parseDemandRows,
  parseEra,
  type DemandRow,
  type StoreEra,
} from '@zinniaspindle/decisions';
import type {LoadRow} from '../fleet/load_tracker.js';
import {Topic} from '../ports/index.js';
import {isAge, isCount, isInstant, isLoadRow} from './message_checks.js';
import {PeerMessageKind, PeerPhase, type Heartbeat} from './messages.js';

/** Phases by their wire code; the order is part of the format. */
const phases = [PeerPhase.Starting, PeerPhase.Ready, PeerPhase.Leaving];
/** Topics by their wire code; the order is part of the format. */
const topics = [Topic.Configuration, Topic.Endpoints];

/**
 * A heartbeat encoded as an array. Each VM sends heartbeats to all others, so
 * field names would make up most of the traffic between VMs.
 */
export type HeartbeatRow = readonly [
  phaseCode: number,
  isOwner: boolean,
  /** For each topic its code, its next offset and its age in milliseconds. */
  ages: readonly number[],
  loads: readonly LoadRow[],
  canRead: boolean,
  sentAt: number,
  /**
   * The latest era known, then the era of each topic in the order of the ages;
   * -1 if unknown. Older builds neither send nor read it.
   */
  eras?: readonly number[],
  /** Left out if there are none, and no demands. */
  quarantines?: readonly unknown[],
  /** Left out if there are none. */
  demands?: readonly DemandRow[],
];

const unknownEra = -1;

const numbersPerTopic = 3;

/** Encodes a heartbeat. */
export function encodeHeartbeat(heartbeat: Heartbeat): HeartbeatRow {
  const {quarantines, demands = []} = heartbeat;
  const ages: number[] = [];
  for (const {topic, next, ageMilliseconds} of heartbeat.topics) {
    ages.push(topics.indexOf(topic), next, ageMilliseconds);
  }
  const row = [
    phases.indexOf(heartbeat.phase),
    heartbeat.isOwner,
    ages,
    heartbeat.loads,
    heartbeat.canRead,
    heartbeat.sentAt,
    [heartbeat.storeEra, ...heartbeat.topics.map(({era}) => era)].map(
      era => era ?? unknownEra,
    ),
  ] as const;
  if (demands.length > 0) return [...row, quarantines, demands];
  return quarantines.length > 0 ? [...row, quarantines] : row;
}

/** Decodes a heartbeat; undefined if it is malformed. */
export function decodeHeartbeat(
  row: readonly unknown[],
): Heartbeat | undefined {
  const [phaseCode, isOwner, ages, loads, canRead, sentAt, ...rest] =
    row as HeartbeatRow;
  const phase = phases[phaseCode];
  if (phase === undefined || !Array.isArray(ages) || !Array.isArray(loads)) {
    return undefined;
  }
  if (!isInstant(sentAt)) return undefined;
  const kind = PeerMessageKind.Heartbeat;
  const [storeEra, ...eras] = decodeEras(rest[0]);
  const topics = decodeAges(ages, eras);
  const quarantines: readonly unknown[] = Array.isArray(rest[1]) ? rest[1] : [];
  const demands = parseDemandRows(rest[2]);
  return {
    kind,
    phase,
    isOwner: isOwner === true,
    canRead: canRead === true,
    sentAt,
    topics,
    // One malformed row would make the sums of all loads useless.
    loads: loads.filter(isLoadRow),
    storeEra,
    quarantines,
    ...(demands.length > 0 ? {demands} : {}),
  };
}

function decodeEras(eras: unknown): StoreEra[] {
  return Array.isArray(eras) ? eras.map(parseEra) : [];
}

function decodeAges(
  ages: readonly number[],
  eras: readonly StoreEra[],
): Heartbeat['topics'] {
  const decoded: Heartbeat['topics'][number][] = [];
  for (let at = 0; at + numbersPerTopic <= ages.length; at += numbersPerTopic) {
    const topic = topics[ages[at]!];
    const next = ages[at + 1]!;
    if (topic === undefined || !isCount(next)) continue;
    if (!isAge(ages[at + 2])) continue;
    const era = eras[at / numbersPerTopic];
    decoded.push({topic, era, next, ageMilliseconds: ages[at + 2]!});
  }
  return decoded;
}
