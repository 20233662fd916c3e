import {encodeFrame} from '@zinniaspindle/framing';
import {CodedError} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {decodeHeartbeat, encodeHeartbeat} from './heartbeat_codec.js';
import {PeerMessageKind, type PeerMessage} from './messages.js';

/** Codes of errors in messages from peers. */
export enum MessageErrorCode {
  UnknownKind = 'unknownKind',
  MalformedHeartbeat = 'badBeat',
}

const kinds = new Set<unknown>(Object.values(PeerMessageKind));

/** Checks a decoded frame: a heartbeat row, or a message with its kind. */
export function decodeMessage(
  message: unknown,
): Result<PeerMessage, CodedError<MessageErrorCode>> {
  if (Array.isArray(message)) return checkHeartbeat(message);
  const kind = (message as {kind?: unknown} | null)?.kind;
  if (kinds.has(kind)) return Result.ok(message as PeerMessage);
  const text = `peer message has unknown kind "${String(kind)}"`;
  return Result.err(new CodedError(MessageErrorCode.UnknownKind, text));
}

function checkHeartbeat(
  row: readonly unknown[],
): Result<PeerMessage, CodedError<MessageErrorCode>> {
  const heartbeat = decodeHeartbeat(row);
  if (heartbeat !== undefined) return Result.ok(heartbeat);
  const text = `heartbeat of ${row.length} fields is malformed`;
  return Result.err(new CodedError(MessageErrorCode.MalformedHeartbeat, text));
}

/** Encodes a message as a frame; heartbeats are sent without field names. */
export function encodeMessage(message: PeerMessage): Buffer {
  const isHeartbeat = message.kind === PeerMessageKind.Heartbeat;
  return encodeFrame(isHeartbeat ? encodeHeartbeat(message) : message);
}
