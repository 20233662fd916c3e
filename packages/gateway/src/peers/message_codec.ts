import {encodeFrame} from '@zinniaspindle/framing';
import {CodedError} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {decodeBeat, encodeBeat} from './heartbeat_codec.js';
import {PeerMessageKind, type PeerMessage} from './messages.js';

/** Why a peer's message cannot be used. */
export enum MessageErrorCode {
  UnknownKind = 'unknownKind',
  BadBeat = 'badBeat',
}

const kinds = new Set<unknown>(Object.values(PeerMessageKind));

/** Reads a decoded frame: a beat, or a message that names its kind. */
export function decodeMessage(
  message: unknown,
): Result<PeerMessage, CodedError<MessageErrorCode>> {
  if (Array.isArray(message)) return checkBeat(message);
  const kind = (message as {kind?: unknown} | null)?.kind;
  if (kinds.has(kind)) return Result.ok(message as PeerMessage);
  const text = `peer message of unknown kind "${String(kind)}"`;
  return Result.err(new CodedError(MessageErrorCode.UnknownKind, text));
}

function checkBeat(
  row: readonly unknown[],
): Result<PeerMessage, CodedError<MessageErrorCode>> {
  const beat = decodeBeat(row);
  if (beat !== undefined) return Result.ok(beat);
  const text = `beat of ${row.length} fields cannot be read`;
  return Result.err(new CodedError(MessageErrorCode.BadBeat, text));
}

/** Turns a message into what is sent; beats are sent without field names. */
export function encodeMessage(message: PeerMessage): Buffer {
  const isBeat = message.kind === PeerMessageKind.Heartbeat;
  return encodeFrame(isBeat ? encodeBeat(message) : message);
}
