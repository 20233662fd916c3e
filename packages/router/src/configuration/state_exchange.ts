import {
  createStateRequests,
  decideStateRequests,
  defaultStateRequestOptions,
  StateRequestEventKind,
} from '@zinniaspindle/decisions';
import type {
  ClaimWindow,
  Offset,
  StateRequestCommand,
  StateRequestEvent,
  StateRequestState,
  StateTransfer,
} from '@zinniaspindle/decisions';
import type {VmId} from '@zinniaspindle/shared';
import type {ActionHost} from '../actions/action_host.js';
import type {LoopPorts} from '../loop/loop_ports.js';
import {Machine} from '../loop/machine.js';
import type {ConfigurationHost} from './configuration_host.js';

/** Asks a VM for its state, or gives it. */
export type StateMessage =
  | {readonly ask: true}
  | {readonly transfer: StateTransfer; readonly claims: ClaimWindow};

/** What the exchange needs from the rest of the VM. */
export interface StateExchangePorts extends LoopPorts {
  readonly configuration: ConfigurationHost;
  readonly actions: ActionHost;
  /** Next log offset that this VM will fold. */
  readonly getPosition: () => Offset;
  readonly sendToPeer: (peer: VmId, message: StateMessage) => void;
}

/** Passes folded state between VMs where the log cannot give its records. */
export class StateExchange {
  private readonly requests: Machine<
    StateRequestState,
    StateRequestEvent,
    StateRequestCommand
  >;

  constructor(private readonly ports: StateExchangePorts) {
    const {loop, getNow, report, random, sendToPeer} = ports;
    this.requests = new Machine({
      ...{loop, getNow, report},
      state: createStateRequests(defaultStateRequestOptions),
      decide: (state, event, now) =>
        decideStateRequests(state, event, now, random),
      execute: ({peer}) => sendToPeer(peer, {ask: true}),
    });
  }

  /** Sets which VMs may be asked. */
  setPeers(peers: readonly VmId[]): void {
    this.requests.send({kind: StateRequestEventKind.PeersChanged, peers});
  }

  /** Asks a peer for its state. */
  askPeer(): void {
    this.requests.send({kind: StateRequestEventKind.Requested});
  }

  /** Passes time. */
  runTick(): void {
    const hasGap = this.ports.configuration.state.gap !== undefined;
    this.requests.send({kind: StateRequestEventKind.Tick, hasGap});
  }

  /** Takes a message of a peer. */
  acceptMessage(from: VmId, message: StateMessage): void {
    if ('transfer' in message) {
      this.acceptTransfer(message.transfer, message.claims);
      return;
    }
    // On the loop, so that every record delivered so far is folded.
    this.ports.loop.run(() => this.sendState(from));
  }

  private sendState(peer: VmId): void {
    const {configuration, actions, sendToPeer} = this.ports;
    const transfer = configuration.makeTransfer();
    if (transfer === undefined) return;
    sendToPeer(peer, {transfer, claims: actions.listClaims()});
  }

  /** Claims matter only where the journal skips the records they came from. */
  private acceptTransfer(transfer: StateTransfer, claims: ClaimWindow): void {
    const {configuration, actions, getPosition} = this.ports;
    if (transfer.covers > getPosition()) actions.acceptWindow(claims);
    configuration.acceptTransfer(transfer);
  }
}
