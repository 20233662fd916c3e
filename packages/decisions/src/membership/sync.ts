import type {EndpointNotice, PeerUpdate, SyncMessage} from './messages.js';
import {maxNewsPerMessage, PeerMessageKind} from './messages.js';
import type {Turn} from './state.js';
import {MembershipCommandKind} from './state.js';

/** Merges views with a peer whose view differs, once this one is quiet. */
export function checkView(turn: Turn, sender: PeerUpdate, view: number): void {
  const {state, now} = turn;
  if (view === state.view || now < state.nextSyncAt) return;
  const quietAt = state.changedAt + state.options.stableViewMilliseconds;
  if (now < quietAt) return;
  const {syncPeriodMilliseconds} = state.options;
  state.nextSyncAt = now + syncPeriodMilliseconds * (0.5 + turn.random());
  sendView(turn, sender.peerAddress, true);
}

/** Sends the whole view in parts. */
export function sendView(turn: Turn, to: string, wantsReply: boolean): void {
  const {peers, notices, self} = turn.state;
  const updates: PeerUpdate[] = [];
  for (const {update, unshared} of peers.values()) {
    if (update.startedAt > 0 && !unshared) updates.push(update);
  }
  const standing: EndpointNotice[] = [];
  for (const {notice} of notices.values()) {
    if (notice.leaving) standing.push(notice);
  }
  const items = Math.max(updates.length, standing.length, 1);
  for (let start = 0; start < items; start += maxNewsPerMessage) {
    const end = start + maxNewsPerMessage;
    const message: SyncMessage = {
      kind: PeerMessageKind.Sync,
      sender: self,
      updates: updates.slice(start, end),
      notices: standing.slice(start, end),
      wantsReply: wantsReply && start === 0,
    };
    turn.commands.push({kind: MembershipCommandKind.Send, to, message});
  }
}
