import type {EndpointNotice, PeerUpdate, SyncMessage} from './messages.js';
import {maxGossipItemsPerMessage, PeerMessageKind} from './messages.js';
import type {Turn} from './state.js';
import {MembershipCommandKind} from './state.js';

/** Starts a sync with a peer whose view differs, once this view is stable. */
export function checkView(turn: Turn, sender: PeerUpdate, view: number): void {
  const {state, now} = turn;
  if (view === state.viewHash || now < state.nextSyncAt) return;
  const stableAt = state.viewChangedAt + state.options.stableViewMilliseconds;
  if (now < stableAt) return;
  const {syncPeriodMilliseconds} = state.options;
  state.nextSyncAt = now + syncPeriodMilliseconds * (0.5 + turn.random());
  sendView(turn, sender.peerAddress, true);
}

/** Sends the full view, split into messages. */
export function sendView(turn: Turn, to: string, wantsReply: boolean): void {
  const {peers, notices, self} = turn.state;
  const updates: PeerUpdate[] = [];
  for (const {update, withheld} of peers.values()) {
    if (update.startedAt > 0 && !withheld) updates.push(update);
  }
  const leavingNotices: EndpointNotice[] = [];
  for (const {notice} of notices.values()) {
    if (notice.leaving) leavingNotices.push(notice);
  }
  const items = Math.max(updates.length, leavingNotices.length, 1);
  for (let start = 0; start < items; start += maxGossipItemsPerMessage) {
    const end = start + maxGossipItemsPerMessage;
    const message: SyncMessage = {
      kind: PeerMessageKind.Sync,
      sender: self,
      updates: updates.slice(start, end),
      notices: leavingNotices.slice(start, end),
      wantsReply: wantsReply && start === 0,
    };
    turn.commands.push({kind: MembershipCommandKind.Send, to, message});
  }
}
