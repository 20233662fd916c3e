import type {VmId} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {makePeerError, PeerErrorCode} from '@zinniaspindle/framing';
import type {PeerError} from '@zinniaspindle/framing';

/** Version of the messages between entry VMs. */
export const peerProtocolVersion = 1;

/** The first frame on a connection, from the side that opened it. */
export interface PeerHello {
  readonly version: number;
  readonly vm: VmId;
}

/** The part of the VM that a message belongs to. */
export enum PeerArea {
  Configuration = 'configuration',
  Journal = 'journal',
  Membership = 'membership',
  Records = 'records',
}

/** Every frame after the first. */
export interface PeerEnvelope {
  readonly area: PeerArea;
  readonly body: unknown;
}

/** Checks the first frame of a connection. */
export function parseHello(message: unknown): Result<PeerHello, PeerError> {
  const hello = message as Partial<PeerHello> | null;
  if (typeof hello !== 'object' || typeof hello?.vm !== 'string') {
    const detail = 'the first frame names no VM';
    return Result.err(makePeerError(PeerErrorCode.BadHello, detail));
  }
  if (hello.version !== peerProtocolVersion) {
    const detail = `VM "${hello.vm}" speaks version ${hello.version}, expected ${peerProtocolVersion}`;
    return Result.err(makePeerError(PeerErrorCode.WrongVersion, detail));
  }
  return Result.ok(hello as PeerHello);
}

/** Checks a later frame of a connection. */
export function parseEnvelope(
  message: unknown,
): Result<PeerEnvelope, PeerError> {
  const envelope = message as Partial<PeerEnvelope> | null;
  const area = Object.values(PeerArea).find(value => value === envelope?.area);
  if (area === undefined || typeof envelope?.body !== 'object') {
    const detail = 'a frame has no known area or no body';
    return Result.err(makePeerError(PeerErrorCode.Malformed, detail));
  }
  return Result.ok(envelope as PeerEnvelope);
}
