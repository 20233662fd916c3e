import type {
  Deadline,
  EndpointId,
  EngineRefusal,
  EngineState,
  EngineStateResponse,
  OrderRequest,
} from '@zinniaspindle/shared';
import type {HeldLease} from '../leases/messages.js';

/** Kinds of inputs of the order state machine. */
export enum OrderInputKind {
  LeaseHeld = 'leaseHeld',
  LeaseLost = 'leaseLost',
  OrderAccepted = 'orderAccepted',
  /** No answer came; the order may still have reached the endpoint. */
  OrderFailed = 'orderFailed',
  OrderRefused = 'orderRefused',
  ReadFailed = 'readFailed',
  StateRead = 'stateRead',
  Tick = 'tick',
  WantedChanged = 'wantedChanged',
}

/** An input of the order state machine. */
export type OrderInput =
  | {readonly kind: OrderInputKind.LeaseHeld; readonly lease: HeldLease}
  | {readonly kind: OrderInputKind.LeaseLost; readonly resource: string}
  | {
      readonly kind: OrderInputKind.OrderAccepted;
      readonly endpoint: EndpointId;
      readonly exchange: number;
    }
  | {
      readonly kind: OrderInputKind.OrderFailed;
      readonly endpoint: EndpointId;
      readonly exchange: number;
      readonly reason: string;
    }
  | {
      readonly kind: OrderInputKind.OrderRefused;
      readonly endpoint: EndpointId;
      readonly exchange: number;
      readonly reason: EngineRefusal;
    }
  | {
      readonly kind: OrderInputKind.ReadFailed;
      readonly endpoint: EndpointId;
      readonly exchange: number;
      readonly reason: string;
    }
  | {
      readonly kind: OrderInputKind.StateRead;
      readonly endpoint: EndpointId;
      readonly exchange: number;
      readonly response: EngineStateResponse;
    }
  | {readonly kind: OrderInputKind.Tick}
  | {
      readonly kind: OrderInputKind.WantedChanged;
      readonly endpoint: EndpointId;
      /** Absent when the endpoint is no longer managed. */
      readonly wanted?: EngineState;
      readonly checksFencing: boolean;
    };

/** Kinds of commands of the order state machine to its host. */
export enum OrderCommandKind {
  ReadState = 'readState',
  SendOrder = 'sendOrder',
}

/** A command of the order state machine to its host. */
export type OrderCommand =
  | {
      readonly kind: OrderCommandKind.ReadState;
      readonly endpoint: EndpointId;
      /** Repeated in the reply, to match it to this command. */
      readonly exchange: number;
      /** The read times out at this instant. */
      readonly expiresAt: Deadline;
    }
  | {
      readonly kind: OrderCommandKind.SendOrder;
      readonly endpoint: EndpointId;
      /** Repeated in the reply, to match it to this command. */
      readonly exchange: number;
      readonly order: OrderRequest;
    };
