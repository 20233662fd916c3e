/**
 * The journal connects the modules that write and fold records with the log
 * service. It batches submitted records into appends, delivers every record of
 * the log exactly once and in order, and reports the outcome of each submit.
 */
import type {Instant, Random} from '@zinniaspindle/shared';
import {Result, type Unit} from 'true-myth';
import type {Decide, Step} from '../step.js';
import type {LogError} from './errors.js';
import {
  acceptAppendAnswer,
  acceptAppendFailure,
  acceptSubmit,
  expireAppends,
} from './journal_appends.js';
import {setPosition} from './journal_delivery.js';
import {
  acceptReadAnswer,
  acceptReadFailure,
  acceptRelay,
  answerPeer,
  pollLog,
  setPeers,
} from './journal_reads.js';
import type {JournalState, JournalTurn} from './journal_state.js';
import {
  JournalEventKind,
  type JournalCommand,
  type JournalEvent,
} from './journal_types.js';

/** Handles one event of the journal. */
export const decideJournal: Decide<
  JournalState,
  JournalEvent,
  JournalCommand,
  LogError
> = (
  state: JournalState,
  event: JournalEvent,
  now: Instant,
  random: Random,
): Result<Step<JournalState, JournalCommand>, LogError> => {
  const turn: JournalTurn = {state, now, random, commands: [], logEvents: []};
  return applyEvent(turn, event).map(() => ({
    state,
    commands: turn.commands,
    logEvents: turn.logEvents,
  }));
};

function applyEvent(
  turn: JournalTurn,
  event: JournalEvent,
): Result<Unit, LogError> {
  switch (event.kind) {
    case JournalEventKind.Advance:
      setPosition(turn, event);
      break;
    case JournalEventKind.AppendAnswered:
      acceptAppendAnswer(turn, event);
      break;
    case JournalEventKind.AppendFailed:
      acceptAppendFailure(turn, event);
      break;
    case JournalEventKind.PeerAsked:
      answerPeer(turn, event);
      break;
    case JournalEventKind.PeersChanged:
      setPeers(turn, event);
      break;
    case JournalEventKind.ReadAnswered:
      acceptReadAnswer(turn, event);
      break;
    case JournalEventKind.ReadFailed:
      acceptReadFailure(turn, event);
      break;
    case JournalEventKind.Relayed:
      acceptRelay(turn, event);
      break;
    case JournalEventKind.Submit:
      return acceptSubmit(turn, event);
    case JournalEventKind.Tick:
      expireAppends(turn);
      pollLog(turn);
      break;
  }
  return Result.ok();
}
