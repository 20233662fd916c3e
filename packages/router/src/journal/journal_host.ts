import {
  AppendFailure,
  createJournal,
  decideJournal,
  JournalCommandKind,
  JournalEventKind,
  SubmitOutcome,
} from '@zinniaspindle/decisions';
import type {
  JournalCommand,
  JournalEvent,
  JournalOptions,
  JournalState,
  LogRelay,
  Offset,
  CommittedRecord,
  RecordBody,
  SubmitToken,
} from '@zinniaspindle/decisions';
import {toId} from '@zinniaspindle/shared';
import type {Deadline, VmId} from '@zinniaspindle/shared';
import {Machine} from '../loop/machine.js';
import type {LoopPorts} from '../loop/loop_ports.js';
import {PlatformErrorCode} from '../platform/errors.js';
import type {PlatformError} from '../platform/errors.js';
import type {PlatformClient} from '../platform/platform_client.js';

/**
 * Called with the outcome of a submitted record; offset is -1 unless committed.
 */
export type SubmitListener = (outcome: SubmitOutcome, offset: Offset) => void;

/** Appends a record; given up at a deadline unless it was sent before. */
export type AppendRecord = (
  body: RecordBody,
  giveUpAt: Deadline,
  listener: SubmitListener,
) => void;

/** A message between the journals of two VMs. */
export type JournalMessage =
  {readonly ask: Offset} | {readonly relay: LogRelay};

/** What the journal needs from the rest of the VM. */
export interface JournalPorts extends LoopPorts {
  readonly platform: PlatformClient;
  readonly options: JournalOptions;
  readonly sendToPeer: (peer: VmId, message: JournalMessage) => void;
  /** Hands every record of the log to the folds, in order. */
  readonly deliverRecord: (record: CommittedRecord) => void;
  readonly handleGap: (from: Offset, oldest: Offset) => void;
  /** Hears that the log answered a read, once its records are delivered. */
  readonly handleRead: () => void;
  /** Asks peers for a state transfer. */
  readonly requestState: () => void;
}

/** Hosts the journal: the log service on one side, the folds on the other. */
export class JournalHost {
  private readonly machine: Machine<JournalState, JournalEvent, JournalCommand>;
  private readonly listeners = new Map<SubmitToken, SubmitListener>();
  private nextToken = 0;

  constructor(private readonly ports: JournalPorts) {
    const {loop, getNow, report, random} = ports;
    this.machine = new Machine({
      ...{loop, getNow, report},
      state: createJournal(ports.options, getNow()),
      decide: (state, event, now) => decideJournal(state, event, now, random),
      execute: command => this.runCommand(command),
    });
  }

  /** The journal's state; read only. */
  get state(): JournalState {
    return this.machine.state;
  }

  /** Hands an event to the journal. */
  send(event: JournalEvent): void {
    this.machine.send(event);
  }

  /** Submits a record; the listener may receive more than one outcome. */
  appendRecord(
    body: RecordBody,
    giveUpAt: Deadline,
    listener: SubmitListener,
  ): void {
    const token = toId<SubmitToken>(String(this.nextToken));
    this.nextToken += 1;
    this.listeners.set(token, listener);
    this.send({kind: JournalEventKind.Submit, body, token, giveUpAt});
  }

  /** Takes a message of a peer's journal. */
  acceptMessage(peer: VmId, message: JournalMessage): void {
    if ('ask' in message) {
      const kind = JournalEventKind.PeerAsked;
      this.send({kind, peer, from: message.ask});
      return;
    }
    this.send({kind: JournalEventKind.Relayed, relay: message.relay});
  }

  private runCommand(command: JournalCommand): void {
    const {ports} = this;
    switch (command.kind) {
      case JournalCommandKind.AskPeers:
        for (const peer of command.peers) {
          ports.sendToPeer(peer, {ask: command.from});
        }
        return;
      case JournalCommandKind.Deliver:
        return ports.deliverRecord(command.record);
      case JournalCommandKind.GapFound:
        return ports.handleGap(command.from, command.oldest);
      case JournalCommandKind.RelayToPeers:
        for (const peer of command.peers) {
          ports.sendToPeer(peer, {relay: command.relay});
        }
        return;
      case JournalCommandKind.RequestState:
        return ports.requestState();
      case JournalCommandKind.SendAppend:
        void this.sendAppend(command.append, command.texts);
        return;
      case JournalCommandKind.SendRead: {
        const {read, from, max, waitMilliseconds} = command;
        void this.sendRead(read, from, max, waitMilliseconds);
        return;
      }
      case JournalCommandKind.SubmitResolved:
        return this.resolveSubmit(command.token, command.outcome, command.offset);
    }
  }

  /** Only the outcome `unknown` may be followed by another. */
  private resolveSubmit(
    token: SubmitToken,
    outcome: SubmitOutcome,
    offset: Offset,
  ): void {
    const listener = this.listeners.get(token);
    if (outcome !== SubmitOutcome.Unknown) this.listeners.delete(token);
    listener?.(outcome, offset);
  }

  private async sendAppend(
    append: number,
    texts: readonly string[],
  ): Promise<void> {
    const {platform, options, getNow} = this.ports;
    const deadline = getNow() + options.appendTimeoutMilliseconds;
    const answer = await platform.append(texts, deadline);
    if (answer.isOk) {
      const {firstOffset} = answer.value;
      const kind = JournalEventKind.AppendAnswered;
      this.send({kind, append, firstOffset});
      return;
    }
    const failure = toAppendFailure(answer.error);
    this.send({kind: JournalEventKind.AppendFailed, append, failure});
  }

  private async sendRead(
    read: number,
    from: Offset,
    max: number,
    waitMilliseconds: number,
  ): Promise<void> {
    const {platform, options, getNow} = this.ports;
    const deadline =
      getNow() + waitMilliseconds + options.readTimeoutMilliseconds;
    const answer = await platform.read(from, max, waitMilliseconds, deadline);
    if (answer.isOk) {
      const kind = JournalEventKind.ReadAnswered;
      this.send({kind, read, response: answer.value});
      this.ports.loop.run(() => this.ports.handleRead());
      return;
    }
    const detail = answer.error.message;
    this.send({kind: JournalEventKind.ReadFailed, read, detail});
  }
}

function toAppendFailure(error: PlatformError): AppendFailure {
  switch (error.code) {
    case PlatformErrorCode.NotDone:
      return AppendFailure.NotAppended;
    case PlatformErrorCode.OutcomeUnknown:
      return AppendFailure.Unknown;
    case PlatformErrorCode.RateLimited:
      return AppendFailure.RateLimited;
  }
}
