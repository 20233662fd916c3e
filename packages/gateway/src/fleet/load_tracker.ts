import {
  hashText,
  type EndpointLoad,
  type StagePath,
} from '@zinniaspindle/decisions';
import {countLayers} from '@zinniaspindle/shared';

/** The load of one VM on one path, as sent to peers. */
export type LoadRow = readonly [
  /** Hash of the path's key, the same on all VMs. */
  pathHash: number,
  /** Id of the first endpoint, for VMs that do not know the path. */
  first: string,
  streams: number,
  tokens: number,
];

interface PathCount {
  readonly path: StagePath;
  readonly hash: number;
  streams: number;
  tokens: number;
}

/** The load of all peers on one path. */
interface PeerTotal {
  readonly first: string;
  streams: number;
  tokens: number;
}

/** Number of recent paths kept to resolve the hashes sent by peers. */
const maxKnownPaths = 64;

/**
 * Tracks the load of each endpoint from the streams of this VM and its peers.
 * Heartbeats of hundreds of peers change the sums of paths; those of endpoints
 * are computed from them when a path is picked.
 */
export class LoadTracker {
  private readonly own = new Map<string, PathCount>();
  private readonly peers = new Map<string, readonly LoadRow[]>();
  /** Sums over the peers, by the hash of the path. */
  private readonly peerTotals = new Map<number, PeerTotal>();
  private readonly known = new Map<number, StagePath>();
  /** Load by endpoint; undefined when a load has changed since it was computed. */
  private totals: Map<string, EndpointLoad> | undefined;

  /** Adds a path to those that rows of peers may refer to. */
  addPath(path: StagePath): void {
    const hash = hashText(path.key);
    this.known.delete(hash);
    this.known.set(hash, path);
    this.totals = undefined;
    if (this.known.size <= maxKnownPaths) return;
    const [oldest] = this.known.keys();
    this.known.delete(oldest!);
  }

  /** Adds streams and tokens of this VM to a path; negative numbers remove them. */
  addOwn(path: StagePath, streams: number, tokens: number): void {
    let count = this.own.get(path.key);
    if (count === undefined) {
      count = {path, hash: hashText(path.key), streams: 0, tokens: 0};
      this.own.set(path.key, count);
    }
    count.streams += streams;
    count.tokens += tokens;
    if (count.streams === 0) this.own.delete(path.key);
    this.totals = undefined;
  }

  /** Replaces the load of a peer. */
  setPeer(vm: string, rows: readonly LoadRow[]): void {
    this.removePeer(vm);
    if (rows.length === 0) return;
    this.peers.set(vm, rows);
    for (const row of rows) this.addRow(row, 1);
  }

  /** Removes the load of a peer. */
  removePeer(vm: string): void {
    const rows = this.peers.get(vm);
    if (rows === undefined) return;
    for (const row of rows) this.addRow(row, -1);
    this.peers.delete(vm);
  }

  /** Computes the load of an endpoint over all VMs. */
  computeLoad(id: string): EndpointLoad {
    this.totals ??= this.computeTotals();
    return this.totals.get(id) ?? {streams: 0, layerTokens: 0};
  }

  /** Lists the load of this VM. */
  listOwn(): LoadRow[] {
    const rows: LoadRow[] = [];
    for (const {path, hash, streams, tokens} of this.own.values()) {
      const first = path.parts[0]!.endpoint.id;
      rows.push([hash, first, streams, Math.round(tokens)]);
    }
    return rows;
  }

  private addRow([hash, first, streams, tokens]: LoadRow, sign: number): void {
    this.totals = undefined;
    let total = this.peerTotals.get(hash);
    if (total === undefined) {
      total = {first, streams: 0, tokens: 0};
      this.peerTotals.set(hash, total);
    }
    total.streams += sign * streams;
    total.tokens += sign * tokens;
    if (total.streams === 0 && total.tokens === 0) this.peerTotals.delete(hash);
  }

  private computeTotals(): Map<string, EndpointLoad> {
    const totals = new Map<string, EndpointLoad>();
    for (const {path, streams, tokens} of this.own.values()) {
      addToPath(totals, path, streams, tokens);
    }
    for (const [hash, {first, streams, tokens}] of this.peerTotals) {
      const path = this.known.get(hash);
      if (path !== undefined) addToPath(totals, path, streams, tokens);
      else addToEndpoint(totals, first, streams, 0);
    }
    return totals;
  }
}

function addToPath(
  totals: Map<string, EndpointLoad>,
  path: StagePath,
  streams: number,
  tokens: number,
): void {
  for (const [index, {endpoint, layers}] of path.parts.entries()) {
    const layerTokens = tokens * countLayers(layers);
    addToEndpoint(totals, endpoint.id, index === 0 ? streams : 0, layerTokens);
  }
}

function addToEndpoint(
  totals: Map<string, EndpointLoad>,
  id: string,
  streams: number,
  layerTokens: number,
): void {
  const before = totals.get(id);
  totals.set(id, {
    streams: (before?.streams ?? 0) + streams,
    layerTokens: (before?.layerTokens ?? 0) + layerTokens,
  });
}
