import type {Instant, Random} from '@zinniaspindle/shared';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  AfterAttempt,
  AttemptOutcome,
  canRetry,
  chooseAfterAttempt,
  createRetryBudget,
  findParallelDenial,
  maxRunning,
  recordFirstAttempt,
  recordOutcome,
  takeMove,
  takeRetry,
  type Attempts,
  type RetryBudget,
} from '../src/index.js';

/** What an emulated endpoint does with requests. */
export enum Behaviour {
  Serves = 'serves',
  Refuses = 'refuses',
  /** Resets connections; the VM can't tell whether the request runs. */
  Resets = 'resets',
  Hangs = 'hangs',
}

/** What becomes of an attempt that is slow. */
export enum SlowPolicy {
  /** It goes on beside a second one. */
  Keep = 'keep',
  /** It is given up for a second one. */
  Leave = 'leave',
  /** It goes on alone. */
  Stay = 'stay',
}

/** A run of requests of a safe route at some endpoints, in virtual time. */
export interface LoadPlan {
  readonly policy: SlowPolicy;
  readonly requestsPerSecond: number;
  readonly seconds: number;
  /** The factor on the time that each endpoint works on a request. */
  readonly paces: readonly number[];
  readonly behaviours: readonly Behaviour[];
}

/** What was seen in a run. */
export interface LoadResult {
  readonly requests: number;
  answered: number;
  inTime: number;
  failed: number;
  /** Attempts beyond the first of each request. */
  furtherAttempts: number;
  mostAtOnce: number;
  /** Most endpoints that may have run one request. */
  mostRuns: number;
  /** The time in which endpoints worked in vain. */
  wastedMilliseconds: number;
}

const vms = 15;
const slots = 6;
const queueSlots = 6;
const workMilliseconds = 43;
const targetMilliseconds = 193;
const deadlineMilliseconds = 1500;
const slowMilliseconds = 2 * targetMilliseconds;
const checkMilliseconds = 100;
const travelMilliseconds = 1;
const limits = {canRepeat: true, maxRuns: 2, maxNotRun: 4};
/** The share of each VM of the budget of all: 0.2 of the requests, and 424. */
const budgetOptions = {
  retryRatio: 0.17,
  initialRetries: 24,
  maxAvailable: 24,
};

interface Attempt {
  readonly request: Request;
  readonly endpoint: Endpoint;
  readonly sentAt: Instant;
  workedFrom: Instant | undefined;
  hasEnded: boolean;
}

interface Endpoint {
  readonly pace: number;
  readonly behaviour: Behaviour;
  readonly working: Set<Attempt>;
  readonly queue: Attempt[];
}

interface Vm {
  readonly budget: RetryBudget;
  readonly running: Map<Endpoint, number>;
}

interface Request {
  readonly vm: Vm;
  readonly sentAt: Instant;
  readonly attempts: Attempts;
  readonly running: Set<Attempt>;
  readonly tried: Set<Endpoint>;
  isDone: boolean;
}

/** Runs requests under a policy, with the decisions of the gateway. */
export function simulateLoad(plan: LoadPlan, seed: number): LoadResult {
  return new AttemptLoad(plan, seed).run();
}

class AttemptLoad {
  private now: Instant = 0;
  private readonly steps = new Map<Instant, (() => void)[]>();
  private readonly random: Random;
  private readonly endpoints: Endpoint[];
  private readonly vms: Vm[];
  private readonly result: LoadResult;

  constructor(
    private readonly plan: LoadPlan,
    seed: number,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => (generator.next() >>> 0) / 2 ** 32;
    this.endpoints = plan.paces.map((pace, at) => ({
      pace,
      behaviour: plan.behaviours[at]!,
      working: new Set(),
      queue: [],
    }));
    this.vms = Array.from({length: vms}, () => ({
      budget: createRetryBudget(budgetOptions),
      running: new Map(),
    }));
    this.result = {
      requests: plan.requestsPerSecond * plan.seconds,
      answered: 0,
      inTime: 0,
      failed: 0,
      furtherAttempts: 0,
      mostAtOnce: 0,
      mostRuns: 0,
      wastedMilliseconds: 0,
    };
  }

  run(): LoadResult {
    const {seconds} = this.plan;
    for (let i = 0; i < this.result.requests; i += 1) {
      const at = Math.floor(this.random() * seconds * 1000);
      this.planStep(at, () => this.acceptRequest());
    }
    const endAt = seconds * 1000 + 2 * deadlineMilliseconds;
    for (; this.now < endAt; this.now += 1) {
      const steps = this.steps.get(this.now) ?? [];
      // A step may add others of the same instant.
      for (const step of steps) step();
      this.steps.delete(this.now);
    }
    return this.result;
  }

  private planStep(at: Instant, step: () => void): void {
    const instant = Math.max(this.now, Math.round(at));
    const steps = this.steps.get(instant);
    if (steps === undefined) this.steps.set(instant, [step]);
    else steps.push(step);
  }

  private acceptRequest(): void {
    const vm = this.vms[Math.floor(this.random() * vms)]!;
    const request: Request = {
      vm,
      sentAt: this.now,
      attempts: {runs: 0, notRun: 0},
      running: new Set(),
      tried: new Set(),
      isDone: false,
    };
    recordFirstAttempt(vm.budget, budgetOptions);
    this.planStep(this.now + deadlineMilliseconds, () => this.expire(request));
    this.startAttempt(request, this.pickEndpoint(request)!);
  }

  private pickEndpoint({vm, tried}: Request): Endpoint | undefined {
    let best: Endpoint | undefined;
    let lowest = Infinity;
    for (const endpoint of this.endpoints) {
      if (tried.has(endpoint)) continue;
      const rank = (vm.running.get(endpoint) ?? 0) + this.random();
      if (rank >= lowest) continue;
      lowest = rank;
      best = endpoint;
    }
    return best;
  }

  private startAttempt(request: Request, endpoint: Endpoint): void {
    const {vm, running, tried} = request;
    if (tried.size > 0) this.result.furtherAttempts += 1;
    tried.add(endpoint);
    vm.running.set(endpoint, (vm.running.get(endpoint) ?? 0) + 1);
    const attempt: Attempt = {
      request,
      endpoint,
      sentAt: this.now,
      workedFrom: undefined,
      hasEnded: false,
    };
    running.add(attempt);
    this.result.mostAtOnce = Math.max(this.result.mostAtOnce, running.size);
    this.planStep(this.now + travelMilliseconds, () =>
      this.acceptAttempt(attempt),
    );
    this.planCheck(attempt);
  }

  private planCheck(attempt: Attempt): void {
    if (this.plan.policy === SlowPolicy.Stay) return;
    const slowAt = attempt.sentAt + slowMilliseconds;
    const checkAt = Math.max(slowAt, this.now + checkMilliseconds);
    this.planStep(checkAt, () => this.checkSlow(attempt));
  }

  private checkSlow(attempt: Attempt): void {
    const {request} = attempt;
    if (attempt.hasEnded || request.running.size !== 1) return;
    if (this.hasDenial(request)) return;
    const taken = takeMove(request.vm.budget, () => this.pickEndpoint(request));
    if (taken.isErr) return this.planCheck(attempt);
    if (this.plan.policy === SlowPolicy.Leave) {
      this.cancel(attempt);
      recordOutcome(request.attempts, AttemptOutcome.Broken);
    }
    this.startAttempt(request, taken.value);
  }

  private hasDenial({attempts, running}: Request): boolean {
    const state = {...attempts, running: running.size};
    return findParallelDenial(state, limits) !== undefined;
  }

  private acceptAttempt(attempt: Attempt): void {
    const {endpoint} = attempt;
    if (attempt.hasEnded) return;
    switch (endpoint.behaviour) {
      case Behaviour.Hangs:
        return;
      case Behaviour.Refuses:
        return this.planEnd(attempt, AttemptOutcome.NotRun);
      case Behaviour.Resets:
        return this.planEnd(attempt, AttemptOutcome.Broken);
      case Behaviour.Serves:
        break;
    }
    if (endpoint.working.size < slots) return this.startWork(attempt);
    if (endpoint.queue.length < queueSlots) endpoint.queue.push(attempt);
    else this.planEnd(attempt, AttemptOutcome.NotRun);
  }

  private startWork(attempt: Attempt): void {
    const {endpoint} = attempt;
    endpoint.working.add(attempt);
    attempt.workedFrom = this.now;
    const work = workMilliseconds * endpoint.pace * (0.5 + this.random());
    this.planStep(this.now + work, () => {
      if (!endpoint.working.has(attempt)) return;
      this.releaseSlot(attempt);
      if (attempt.request.isDone) this.recordWaste(attempt);
      else this.planEnd(attempt, AttemptOutcome.Answered);
    });
  }

  private planEnd(attempt: Attempt, outcome: AttemptOutcome): void {
    this.planStep(this.now + travelMilliseconds, () => {
      if (attempt.hasEnded) return;
      this.removeAttempt(attempt);
      this.acceptEnd(attempt, outcome);
    });
  }

  private acceptEnd({request}: Attempt, outcome: AttemptOutcome): void {
    const {attempts, running, vm} = request;
    recordOutcome(attempts, outcome);
    switch (chooseAfterAttempt(outcome, running.size)) {
      case AfterAttempt.Answer:
        return this.answer(request);
      case AfterAttempt.Wait:
        return this.planCheck([...running][0]!);
      case AfterAttempt.Retry:
        break;
    }
    const endpoint = this.pickEndpoint(request);
    const isDenied = this.hasDenial(request) || !canRetry(vm.budget);
    if (isDenied || endpoint === undefined) return this.fail(request);
    takeRetry(vm.budget);
    this.startAttempt(request, endpoint);
  }

  private answer(request: Request): void {
    this.result.answered += 1;
    const milliseconds = this.now - request.sentAt;
    if (milliseconds <= targetMilliseconds) this.result.inTime += 1;
    this.close(request);
  }

  private fail(request: Request): void {
    this.result.failed += 1;
    this.close(request);
  }

  private expire(request: Request): void {
    if (!request.isDone) this.fail(request);
  }

  private close(request: Request): void {
    const {attempts, running} = request;
    const runs = attempts.runs + running.size;
    this.result.mostRuns = Math.max(this.result.mostRuns, runs);
    request.isDone = true;
    for (const attempt of running) this.cancel(attempt);
  }

  /** Ends an attempt; its endpoint drops the request when it learns of it. */
  private cancel(attempt: Attempt): void {
    this.removeAttempt(attempt);
    this.planStep(this.now + travelMilliseconds, () => {
      const {endpoint} = attempt;
      const at = endpoint.queue.indexOf(attempt);
      if (at !== -1) endpoint.queue.splice(at, 1);
      if (!endpoint.working.has(attempt)) return;
      this.recordWaste(attempt);
      this.releaseSlot(attempt);
    });
  }

  private removeAttempt(attempt: Attempt): void {
    const {request, endpoint} = attempt;
    const {running} = request.vm;
    attempt.hasEnded = true;
    request.running.delete(attempt);
    running.set(endpoint, running.get(endpoint)! - 1);
  }

  private releaseSlot(attempt: Attempt): void {
    const {working, queue} = attempt.endpoint;
    working.delete(attempt);
    const next = queue.shift();
    if (next !== undefined) this.startWork(next);
  }

  private recordWaste({workedFrom}: Attempt): void {
    this.result.wastedMilliseconds += this.now - workedFrom!;
  }
}

/** Counts the attempts that the budgets of all VMs cover. */
export function countBudget(requests: number): number {
  const {initialRetries, retryRatio} = budgetOptions;
  return vms * initialRetries + requests * retryRatio;
}

/** The attempts that one request may have at a time, and in all. */
export const attemptBounds = {atOnce: maxRunning, runs: limits.maxRuns};
