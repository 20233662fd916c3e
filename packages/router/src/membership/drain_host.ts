import {
  decideDrain,
  defaultDrainOptions,
  DrainCommandKind,
  DrainEventKind,
  DrainPhase,
  makeDrainState,
} from '@zinniaspindle/decisions';
import type {
  DrainCommand,
  DrainInput,
  DrainState,
} from '@zinniaspindle/decisions';
import type {Deadline} from '@zinniaspindle/shared';
import type {LoopPorts} from '../loop/loop_ports.js';
import {Machine} from '../loop/machine.js';

/** What a planned stop does to the rest of the VM. */
export interface DrainPorts extends LoopPorts {
  /** Lifetime of an answer of the directory. */
  readonly answerTtlMilliseconds: number;
  readonly announceLeaving: () => void;
  readonly releaseLeases: () => void;
  readonly closeListeners: () => void;
  /** Ends what runs so that callers resume it elsewhere. */
  readonly handOver: () => void;
  /** Gives a final answer to every caller that still waits for one. */
  readonly answerRest: () => void;
  readonly countInFlight: () => number;
  /** Ends the process; `cut` requests are cut off. */
  readonly exit: (cut: number) => void;
}

/** Hosts the planned stop of this VM. */
export class DrainHost {
  private readonly machine: Machine<DrainState, DrainInput, DrainCommand>;

  constructor(private readonly ports: DrainPorts) {
    const {loop, getNow, report, answerTtlMilliseconds} = ports;
    this.machine = new Machine({
      ...{loop, getNow, report},
      state: makeDrainState({...defaultDrainOptions, answerTtlMilliseconds}),
      decide: (state, event, now) => decideDrain(state, event, now),
      execute: command => this.runCommand(command),
    });
  }

  /** Whether the stop has begun. */
  get isLeaving(): boolean {
    return this.machine.state.phase !== DrainPhase.Serving;
  }

  /** Whether new work is refused, since no valid answer names this VM. */
  get isClosed(): boolean {
    const {phase} = this.machine.state;
    return phase === DrainPhase.Finishing || phase === DrainPhase.Stopped;
  }

  /** Begins the stop, or hastens it. */
  startStop(deadline: Deadline): void {
    this.updateInFlight();
    this.machine.send({kind: DrainEventKind.StopRequested, deadline});
  }

  /** Passes time. */
  runTick(): void {
    if (!this.isLeaving) return;
    this.updateInFlight();
    this.machine.send({kind: DrainEventKind.Tick});
  }

  private updateInFlight(): void {
    const count = this.ports.countInFlight();
    this.machine.send({kind: DrainEventKind.InFlightChanged, count});
  }

  private runCommand(command: DrainCommand): void {
    const {ports} = this;
    switch (command.kind) {
      case DrainCommandKind.AnnounceLeaving:
        return ports.announceLeaving();
      case DrainCommandKind.AnswerRest:
        return ports.answerRest();
      case DrainCommandKind.ReleaseLeases:
        return ports.releaseLeases();
      case DrainCommandKind.CloseListeners:
        return ports.closeListeners();
      case DrainCommandKind.HandOver:
        return ports.handOver();
      case DrainCommandKind.Exit:
        return ports.exit(command.cut);
    }
  }
}
