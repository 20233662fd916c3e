import {listWriterPositions} from '../log/journal_delivery.js';
import type {JournalState} from '../log/journal_state.js';
import type {ConfigurationState, StateTransfer} from './configuration_state.js';

/**
 * Makes the state transfer for a peer. Returns undefined while this VM lacks
 * records, does not know the end of the log, or has not folded everything that
 * its journal delivered.
 */
export function makeStateTransfer(
  state: ConfigurationState,
  journal: JournalState,
): StateTransfer | undefined {
  if (state.gap !== undefined || journal.logEndOffset < 0) return undefined;
  if (state.position < journal.deliveredEndOffset) return undefined;
  const transfer: StateTransfer = {
    covers: journal.position,
    objects: [...state.objects.values()],
    fates: [...state.outcomes.values()],
    writers: listWriterPositions(journal),
  };
  const {snapshot} = state;
  return snapshot === undefined ? transfer : {...transfer, snapshot};
}
