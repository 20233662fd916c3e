import type {RetryDenial, StagePath} from '@zinniaspindle/decisions';
import type {Deadline} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {PathReservation} from '../fleet/path_table.js';
import type {PromptSend, PromptUse} from '../fleet/prompt_table.js';
import type {ServiceModel} from '../ports/index.js';
import type {PathWaiter} from './path_queue.js';
import {predictTokens} from './predict_tokens.js';
import type {RequestContext} from './request_context.js';

/** How a stream queues for a place. */
export interface PlaceWait {
  /** Whether its caller has had part of the answer. */
  readonly isResumed: boolean;
  readonly waitUntil: Deadline;
  /** Until when it may wait for what those that are in time leave. */
  readonly lateUntil?: Deadline | undefined;
  /** The path whose answer another one is to confirm; undefined for none. */
  readonly answered?: StagePath | undefined;
}

/** Follows the paths on which a stream has places. */
export interface PlaceListener {
  /** Called when a path makes no progress. */
  handleStall(place: PathReservation): void;
  /** Whether the caller reads too slowly for the attempt on a place. */
  isPaused(place: PathReservation): boolean;
}

/** The places on paths that one stream waits for. */
export class StreamPlaces {
  /** Its place in the queue while it has no attempt. */
  private waiter: PathWaiter | undefined;
  /** Its place in the queue while it has one that it wants to leave. */
  private mover: PathWaiter | undefined;
  private readonly tokens: number;
  /** Its prompt; undefined if endpoints keep nothing of it. */
  private readonly prompt: PromptUse | undefined;
  /** The sends that have got no event. */
  private readonly promptSends = new Map<PathReservation, PromptSend>();

  constructor(
    private readonly context: RequestContext,
    private readonly model: ServiceModel,
    private readonly listener: PlaceListener,
  ) {
    const {server, service, request} = context;
    this.tokens = predictTokens(request, model);
    this.prompt = server.prompts.open(service.name, model, request);
  }

  /** Waits for a place; undefined if none came free in time. */
  wait(wait: PlaceWait): Promise<PathReservation | undefined> {
    const {server, service} = this.context;
    return new Promise(resolve => {
      this.waiter = {
        ...this.makeWaiter(wait),
        resolve: path => {
          this.waiter = undefined;
          resolve(path && this.reserve(path));
        },
      };
      server.queue.add(service.name, this.waiter);
    });
  }

  private reserve(path: StagePath): PathReservation {
    const {listener} = this;
    // The load of the path does not yet include the request.
    const send = this.prompt?.recordSend(path);
    const place: PathReservation = this.context.server.paths.reserve(
      path,
      this.tokens,
      {
        handleStall: () => listener.handleStall(place),
        isPaused: () => listener.isPaused(place),
      },
    );
    if (send !== undefined) this.promptSends.set(place, send);
    return place;
  }

  /** Records that the attempt on a place has got events. */
  recordEvents(place: PathReservation): void {
    this.promptSends.get(place)?.recordFirstEvent();
    this.promptSends.delete(place);
  }

  private makeWaiter(wait: PlaceWait): Omit<PathWaiter, 'resolve'> {
    const {account, route, receivedAt, request, traits} = this.context;
    const {tokens, model} = this;
    return {
      ...wait,
      ...this.context.server.waiters.findRank(account, route),
      receivedAt,
      model,
      tokens,
      promptTokens: request.promptTokens,
      targetMilliseconds: route.targetLatencyMilliseconds,
      gapTargetMilliseconds: route.gapTargetMilliseconds,
      request: request.attemptId,
      traits,
      savedTokens: this.prompt?.countSaved,
    };
  }

  /** Tells whether the stream waits without an attempt. */
  isWaiting(): boolean {
    return this.waiter !== undefined;
  }

  /** Ends the wait without a place. */
  cancelWait(): void {
    const {waiter} = this;
    if (waiter === undefined) return;
    const {server, service} = this.context;
    server.queue.cancel(service.name, waiter);
    waiter.resolve(undefined);
  }

  /**
   * Waits for a place on another path while the attempt on this one goes on.
   * `handleResult` gets a place, paid for from the retry budget, or what denied
   * it; `findDenial` tells whether the stream may still leave.
   */
  startMove(
    left: PathReservation,
    wait: PlaceWait,
    findDenial: () => RetryDenial | undefined,
    handleResult: (result: Result<PathReservation, RetryDenial>) => void,
  ): void {
    if (this.mover !== undefined) return;
    const {server, service} = this.context;
    this.mover = {
      ...this.makeWaiter(wait),
      left: left.path,
      resolve: path => {
        this.mover = undefined;
        // The answer may have begun since the wait did.
        const denial = findDenial();
        if (denial !== undefined) return handleResult(Result.err(denial));
        const result = server.budgets.takeMove(
          service.name,
          () => path && this.reserve(path),
        );
        handleResult(result);
      },
    };
    server.queue.add(service.name, this.mover);
  }

  /** Tells whether the stream waits for a place on another path. */
  isMoving(): boolean {
    return this.mover !== undefined;
  }

  /** Ends the wait for another path. */
  cancelMove(): void {
    const {mover} = this;
    if (mover === undefined) return;
    this.mover = undefined;
    const {server, service} = this.context;
    server.queue.cancel(service.name, mover);
  }
}
