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

/** The load of a peer on a path; the path is undefined if this VM does not know it. */
interface PeerCount {
  readonly path: StagePath | undefined;
  readonly first: string;
  readonly streams: number;
  readonly tokens: number;
}

/** Number of recent paths kept to resolve the hashes sent by peers. */
const maxKnownPaths = 64;

/** Tracks the load of each endpoint from the streams of this VM and its peers. */
export class LoadTracker {
  private readonly totals = new Map<string, EndpointLoad>();
  private readonly own = new Map<string, PathCount>();
  private readonly peers = new Map<string, readonly PeerCount[]>();
  private readonly known = new Map<number, StagePath>();

  /** Adds a path to those that rows of peers may refer to. */
  addPath(path: StagePath): void {
    const hash = hashText(path.key);
    this.known.delete(hash);
    this.known.set(hash, path);
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
    this.addToPath(path, streams, tokens);
  }

  /** Replaces the load of a peer. */
  setPeer(vm: string, rows: readonly LoadRow[]): void {
    this.removePeer(vm);
    const counts = rows.map(([hash, first, streams, tokens]) => ({
      path: this.known.get(hash),
      ...{first, streams, tokens},
    }));
    this.peers.set(vm, counts);
    for (const count of counts) this.addCount(count, 1);
  }

  /** Removes the load of a peer. */
  removePeer(vm: string): void {
    for (const count of this.peers.get(vm) ?? []) this.addCount(count, -1);
    this.peers.delete(vm);
  }

  /** Computes the load of an endpoint over all VMs. */
  computeLoad(id: string): EndpointLoad {
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

  private addCount(count: PeerCount, sign: number): void {
    const {path, first, streams, tokens} = count;
    if (path !== undefined) {
      this.addToPath(path, sign * streams, sign * tokens);
    } else {
      this.addToEndpoint(first, sign * streams, 0);
    }
  }

  private addToPath(path: StagePath, streams: number, tokens: number): void {
    for (const [index, {endpoint, layers}] of path.parts.entries()) {
      const layerTokens = tokens * countLayers(layers);
      this.addToEndpoint(endpoint.id, index === 0 ? streams : 0, layerTokens);
    }
  }

  private addToEndpoint(id: string, streams: number, tokens: number): void {
    const before = this.computeLoad(id);
    const load = {
      streams: before.streams + streams,
      layerTokens: before.layerTokens + tokens,
    };
    if (load.streams <= 0 && load.layerTokens <= 0) this.totals.delete(id);
    else this.totals.set(id, load);
  }
}
