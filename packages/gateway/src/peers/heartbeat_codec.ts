import type {LoadRow} from '../fleet/load_tracker.js';
import {Topic} from '../ports/index.js';
import {PeerMessageKind, PeerPhase, type Heartbeat} from './messages.js';

/** Phases by their code on the wire; the order is part of the format. */
const phases = [PeerPhase.Starting, PeerPhase.Ready, PeerPhase.Leaving];
/** Topics by their code on the wire; the order is part of the format. */
const topics = [Topic.Configuration, Topic.Endpoints];

/**
 * A beat as a row of numbers: each VM sends it to all others, so that names of
 * fields would be most of the traffic between VMs.
 */
export type BeatRow = readonly [
  phaseCode: number,
  isOwner: boolean,
  /** Code, next offset and age in milliseconds of each topic in turn. */
  ages: readonly number[],
  loads: readonly LoadRow[],
];

const numbersPerTopic = 3;

/** Encodes a beat. */
export function encodeBeat(beat: Heartbeat): BeatRow {
  const ages: number[] = [];
  for (const {topic, next, ageMilliseconds} of beat.topics) {
    ages.push(topics.indexOf(topic), next, ageMilliseconds);
  }
  return [phases.indexOf(beat.phase), beat.isOwner, ages, beat.loads];
}

/** Decodes a beat; undefined for what is none. */
export function decodeBeat(row: readonly unknown[]): Heartbeat | undefined {
  const [phaseCode, isOwner, ages, loads] = row as BeatRow;
  const phase = phases[phaseCode];
  if (phase === undefined || !Array.isArray(ages) || !Array.isArray(loads)) {
    return undefined;
  }
  const kind = PeerMessageKind.Heartbeat;
  return {kind, phase, isOwner, topics: decodeAges(ages), loads};
}

function decodeAges(ages: readonly number[]): Heartbeat['topics'] {
  const decoded: Heartbeat['topics'][number][] = [];
  for (let at = 0; at + numbersPerTopic <= ages.length; at += numbersPerTopic) {
    const topic = topics[ages[at]!];
    if (topic === undefined) continue;
    const next = ages[at + 1]!;
    decoded.push({topic, next, ageMilliseconds: ages[at + 2]!});
  }
  return decoded;
}
