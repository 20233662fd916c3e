import type {RequestId, VmId} from '@zinniaspindle/shared';
import type {Ownership, RequestRecord} from './record.js';

/** Kinds of message between peers about request records. */
export enum RecordMessageKind {
  Drop = 'recordDrop',
  Get = 'recordGet',
  GetAnswer = 'recordGetAnswer',
  Put = 'recordPut',
  PutAck = 'recordPutAck',
  Superseded = 'recordSuperseded',
  SupersededAck = 'recordSupersededAck',
}

/** Outcome of a put at a holder. */
export enum PutOutcome {
  /** The holder's memory limit is reached. */
  Full = 'full',
  Held = 'held',
  /** A record of a later owner exists. */
  Superseded = 'superseded',
}

/** Asks a peer to hold a record. */
export interface PutMessage {
  readonly kind: RecordMessageKind.Put;
  readonly sender: VmId;
  readonly record: RequestRecord;
}

/** Answers a Put. */
export interface PutAckMessage {
  readonly kind: RecordMessageKind.PutAck;
  readonly sender: VmId;
  readonly request: RequestId;
  readonly put: Ownership;
  readonly outcome: PutOutcome;
  /** The later owner, if the put was superseded. */
  readonly winner?: Ownership;
}

/** Asks a peer for a record. */
export interface GetMessage {
  readonly kind: RecordMessageKind.Get;
  readonly sender: VmId;
  readonly request: RequestId;
}

/** Answers a Get; the record is absent if the peer doesn't have it. */
export interface GetAnswerMessage {
  readonly kind: RecordMessageKind.GetAnswer;
  readonly sender: VmId;
  readonly request: RequestId;
  readonly record?: RequestRecord;
}

/** Tells a holder that the request has ended. */
export interface DropMessage {
  readonly kind: RecordMessageKind.Drop;
  readonly sender: VmId;
  readonly request: RequestId;
  readonly by: Ownership;
}

/** Tells an owner that a later one took the request over; resent until acked. */
export interface SupersededMessage {
  readonly kind: RecordMessageKind.Superseded;
  readonly sender: VmId;
  readonly request: RequestId;
  readonly winner: Ownership;
}

/** Answers a Superseded message. */
export interface SupersededAckMessage {
  readonly kind: RecordMessageKind.SupersededAck;
  readonly sender: VmId;
  readonly request: RequestId;
}

/** Any message between peers about request records. */
export type RecordMessage =
  | DropMessage
  | GetAnswerMessage
  | GetMessage
  | PutAckMessage
  | PutMessage
  | SupersededAckMessage
  | SupersededMessage;
