import {
  millisecondsPerSecond,
  type DataCentreId,
  type LinkObject,
} from '@zinniaspindle/shared';

/** The times to send activations between all pairs of data centres. */
export interface LinkTable {
  /** Index of each data centre. */
  readonly indexes: Map<DataCentreId, number>;
  /** Time to send one token's activation, indexed by from × size + to. */
  readonly hopMilliseconds: Float64Array;
  /** Time that each prompt token adds to a prefill, with the same index. */
  readonly prefillMillisecondsPerToken: Float64Array;
  /** Number of data centres. */
  readonly size: number;
}

/** Settings for the times of links. */
export interface LinkOptions {
  /** Bytes of one token's activation between two layers. */
  readonly activationBytes: number;
  /** Delay between data centres without a configured link. */
  readonly unknownDelayMilliseconds: number;
}

/** Settings that apply unless a deployment overrides them. */
export const defaultLinkOptions: LinkOptions = {
  activationBytes: 16_384,
  unknownDelayMilliseconds: 5,
};

/** Builds the table for all pairs of data centres. */
export function buildLinkTable(
  dataCentres: Iterable<DataCentreId>,
  links: Iterable<LinkObject>,
  options: LinkOptions = defaultLinkOptions,
): LinkTable {
  const indexes = new Map<DataCentreId, number>();
  for (const id of dataCentres) {
    if (!indexes.has(id)) indexes.set(id, indexes.size);
  }
  const size = indexes.size;
  const table: LinkTable = {
    indexes,
    hopMilliseconds: new Float64Array(size * size),
    prefillMillisecondsPerToken: new Float64Array(size * size),
    size,
  };
  table.hopMilliseconds.fill(options.unknownDelayMilliseconds);
  for (let i = 0; i < size; i += 1) table.hopMilliseconds[i * size + i] = 0;
  for (const link of links) addLink(table, link, options);
  return table;
}

function addLink(
  table: LinkTable,
  link: LinkObject,
  options: LinkOptions,
): void {
  const [one, other] = link.between;
  const from = table.indexes.get(one);
  const to = table.indexes.get(other);
  if (from === undefined || to === undefined) return;
  const perToken =
    (options.activationBytes * millisecondsPerSecond) / link.bytesPerSecond;
  for (const index of [from * table.size + to, to * table.size + from]) {
    table.hopMilliseconds[index] = link.delayMilliseconds + perToken;
    table.prefillMillisecondsPerToken[index] = perToken;
  }
}
