import type {
  EndpointId,
  EndpointObject,
  Instant,
  LoadReport,
} from '@zinniaspindle/shared';
import type {LinkTable, PromptPrefix} from '@zinniaspindle/decisions';
import type {VirtualClock} from '../virtual/virtual_clock.js';

/** How the engines of a load run behave beyond their rates. */
export interface EngineOptions {
  /** Share by which a prefill slows the steps of the same endpoint. */
  readonly prefillSlowdown: number;
  readonly cachedPrefixes: number;
}

/** The options of the load runs. */
export const defaultEngineOptions: EngineOptions = {
  prefillSlowdown: 0.05,
  cachedPrefixes: 24,
};

/** One attempt of a request at a chain of engines. */
export interface EngineAttempt {
  readonly chain: readonly EndpointId[];
  /** Stages that hold the attempt's KV cache already. */
  readonly kept: ReadonlySet<EndpointId>;
  readonly promptTokens: number;
  readonly prefixes: readonly PromptPrefix[];
  tokensLeft: number;
  isOver: boolean;
  /** Stages whose slot the attempt holds. */
  readonly held: EngineState[];
  readonly onToken: () => void;
  readonly onEnd: () => void;
  /** The connection to a stage broke; a cut data centre breaks none. */
  readonly onBroken: (endpoint: EndpointId) => void;
}

interface WaitingAttempt {
  readonly attempt: EngineAttempt;
  readonly open: () => void;
}

interface EngineState {
  readonly object: EndpointObject;
  readonly dataCentre: number;
  isAlive: boolean;
  streams: number;
  readonly waiting: WaitingAttempt[];
  prefillFreeAt: Instant;
  /** Cached prefixes, least recently used first. */
  readonly cache: Map<string, true>;
  readonly attempts: Set<EngineAttempt>;
}

/** Continuous batching engines in virtual time, by their configured rates. */
export class EngineModel {
  private readonly engines = new Map<EndpointId, EngineState>();

  constructor(
    private readonly clock: VirtualClock,
    endpoints: readonly EndpointObject[],
    private readonly links: LinkTable,
    private readonly options: EngineOptions = defaultEngineOptions,
  ) {
    for (const object of endpoints) {
      this.engines.set(object.name, {
        object,
        dataCentre: links.indexes.get(object.dataCentre)!,
        isAlive: true,
        streams: 0,
        waiting: [],
        prefillFreeAt: 0,
        cache: new Map(),
        attempts: new Set(),
      });
    }
  }

  /** Runs an attempt: prefill through every stage, then token by token. */
  runAttempt(attempt: EngineAttempt): void {
    this.openStage(attempt, 0);
  }

  /** Ends an attempt and releases its slots. */
  cancelAttempt(attempt: EngineAttempt): void {
    if (attempt.isOver) return;
    attempt.isOver = true;
    for (const name of attempt.chain) {
      this.engines.get(name)!.attempts.delete(attempt);
    }
    for (const engine of attempt.held) this.releaseSlot(engine);
  }

  /** Stops an engine; with isSilent its connections don't break. */
  stopEngine(name: EndpointId, isSilent: boolean): void {
    const engine = this.engines.get(name)!;
    engine.isAlive = false;
    if (isSilent) return;
    for (const attempt of [...engine.attempts]) {
      this.cancelAttempt(attempt);
      attempt.onBroken(name);
    }
  }

  /** Tells whether an engine runs. */
  isAlive(name: EndpointId): boolean {
    return this.engines.get(name)!.isAlive;
  }

  /** Reads the figures of every engine that runs, as of now. */
  readReports(): LoadReport[] {
    const reports: LoadReport[] = [];
    const time = this.clock.now;
    for (const [endpoint, engine] of this.engines) {
      if (!engine.isAlive) continue;
      const wait = Math.max(0, engine.prefillFreeAt - time) / 1000;
      const rate = engine.object.rates.prefillTokensPerSecond;
      reports.push({
        endpoint,
        time,
        running: engine.streams,
        queued: engine.waiting.length,
        queuedPrefillTokens: Math.round(wait * rate),
        leaving: false,
      });
    }
    return reports;
  }

  private openStage(attempt: EngineAttempt, index: number): void {
    if (attempt.isOver) return;
    const engine = this.engines.get(attempt.chain[index]!)!;
    engine.attempts.add(attempt);
    if (!engine.isAlive) return;
    if (engine.streams < engine.object.rates.slots) {
      this.startPrefill(attempt, engine, index);
      return;
    }
    const open = () => this.startPrefill(attempt, engine, index);
    if (attempt.kept.size > 0) engine.waiting.unshift({attempt, open});
    else engine.waiting.push({attempt, open});
  }

  private startPrefill(
    attempt: EngineAttempt,
    engine: EngineState,
    index: number,
  ): void {
    engine.streams += 1;
    attempt.held.push(engine);
    const tokens = this.takeUncached(attempt, engine);
    const rate = engine.object.rates.prefillTokensPerSecond;
    const start = Math.max(this.clock.now, engine.prefillFreeAt);
    engine.prefillFreeAt = start + (tokens * 1000) / rate;
    this.clock.runAt(engine.prefillFreeAt, () => {
      if (attempt.isOver || !engine.isAlive) return;
      this.sendOn(attempt, engine, index, tokens);
    });
  }

  private sendOn(
    attempt: EngineAttempt,
    engine: EngineState,
    index: number,
    tokens: number,
  ): void {
    if (index + 1 === attempt.chain.length) {
      this.sendToken(attempt);
      return;
    }
    const next = this.engines.get(attempt.chain[index + 1]!)!;
    const pair = engine.dataCentre * this.links.size + next.dataCentre;
    const delay =
      this.links.hopMilliseconds[pair]! +
      this.links.prefillMillisecondsPerToken[pair]! * tokens;
    this.clock.runAfter(delay, () => this.openStage(attempt, index + 1));
  }

  private sendToken(attempt: EngineAttempt): void {
    if (attempt.isOver) return;
    for (const engine of attempt.held) if (!engine.isAlive) return;
    attempt.tokensLeft -= 1;
    attempt.onToken();
    if (attempt.isOver) return;
    if (attempt.tokensLeft === 0) {
      this.cancelAttempt(attempt);
      attempt.onEnd();
      return;
    }
    const gap = this.computeGap(attempt);
    this.clock.runAfter(gap, () => this.sendToken(attempt));
  }

  private computeGap(attempt: EngineAttempt): number {
    const {now} = this.clock;
    let gap = 0;
    let before = attempt.held.at(-1)!;
    for (const engine of attempt.held) {
      const {rates} = engine.object;
      const further = rates.stepMillisecondsPerStream * (engine.streams - 1);
      const isPrefilling = engine.prefillFreeAt > now;
      const slowdown = isPrefilling ? this.options.prefillSlowdown : 0;
      gap += (rates.stepMilliseconds + further) * (1 + slowdown);
      const pair = before.dataCentre * this.links.size + engine.dataCentre;
      gap += this.links.hopMilliseconds[pair]!;
      before = engine;
    }
    return gap;
  }

  private takeUncached(attempt: EngineAttempt, engine: EngineState): number {
    if (attempt.kept.has(engine.object.name)) return 1;
    let cached = 0;
    for (const prefix of attempt.prefixes) {
      if (engine.cache.delete(prefix.hash)) cached = prefix.tokens;
      engine.cache.set(prefix.hash, true);
    }
    for (const oldest of engine.cache.keys()) {
      if (engine.cache.size <= this.options.cachedPrefixes) break;
      engine.cache.delete(oldest);
    }
    return Math.max(1, attempt.promptTokens - cached);
  }

  private releaseSlot(engine: EngineState): void {
    engine.streams -= 1;
    while (engine.streams < engine.object.rates.slots) {
      const next = engine.waiting.shift();
      if (next === undefined) return;
      if (!next.attempt.isOver) next.open();
    }
  }
}
