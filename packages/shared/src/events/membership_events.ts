/**
 * Events of membership, the directory, graceful shutdown and request records;
 * numbers 3000 to 3999.
 */
export enum MembershipEvent {
  PeerAlive = 3001,
  PeerSuspect = 3002,
  PeerLeaving = 3003,
  PeerDead = 3004,
  PeerJoined = 3005,
  PeerReplaced = 3006,
  PeerRemoved = 3007,
  SuspicionRefuted = 3010,
  OwnRunSuperseded = 3011,
  TickLate = 3012,
  Isolated = 3013,
  IsolationEnded = 3014,
  VmListUnavailable = 3015,
  EndpointLeaving = 3020,
  EndpointLeavingCancelled = 3021,
  EntriesListed = 3100,
  StopStarted = 3200,
  StopAccelerated = 3201,
  ListenersClosed = 3202,
  RequestsHandedOver = 3203,
  StopFinished = 3204,
  RestAnswered = 3205,
  CallCut = 3206,
  RequestCut = 3207,
  RecordStored = 3300,
  RecordRefused = 3301,
  RecordUnderReplicated = 3302,
  ResumeFound = 3310,
  ResumeNotFound = 3311,
  ResumeLost = 3312,
}

/** The text of each event; {name} stands for the value of a field. */
export const membershipEventTexts: Readonly<Record<MembershipEvent, string>> = {
  [MembershipEvent.PeerAlive]: 'peer {peer} is alive: {reason}',
  [MembershipEvent.PeerSuspect]: 'peer {peer} is suspected: {reason}',
  [MembershipEvent.PeerLeaving]: 'peer {peer} is leaving: {reason}',
  [MembershipEvent.PeerDead]: 'peer {peer} is dead: {reason}',
  [MembershipEvent.PeerJoined]: 'peer {peer} joined at {address}: {reason}',
  [MembershipEvent.PeerReplaced]:
    'peer {peer} restarted at {startedAt}; its previous process started at {before}',
  [MembershipEvent.PeerRemoved]:
    'peer {peer} removed from the member list: {reason}',
  [MembershipEvent.SuspicionRefuted]:
    'a peer reported this VM as {state}; refuting it with incarnation {incarnation}',
  [MembershipEvent.OwnRunSuperseded]:
    'a newer process of this VM started at {startedAt}',
  [MembershipEvent.TickLate]:
    'membership tick was {lateMilliseconds} ms late; timeouts are extended until {until}',
  [MembershipEvent.Isolated]: 'no message from any peer since {since}',
  [MembershipEvent.IsolationEnded]:
    'contact with peers regained, first with {peer}',
  [MembershipEvent.VmListUnavailable]: 'VM list unavailable: {detail}',
  [MembershipEvent.EndpointLeaving]:
    'endpoint {endpoint} is leaving, reported by {source}',
  [MembershipEvent.EndpointLeavingCancelled]:
    'endpoint {endpoint} is no longer leaving, reported by {source}',
  [MembershipEvent.EntriesListed]:
    '{count} of {known} VMs listed for data centre {dataCentre}, valid until {useUntil}',
  [MembershipEvent.StopStarted]:
    'graceful shutdown started: serving until {serveUntil}, deadline {deadline}, {inFlight} requests in flight',
  [MembershipEvent.StopAccelerated]:
    'graceful shutdown shortened by a second stop request, {inFlight} requests in flight',
  [MembershipEvent.ListenersClosed]:
    'listeners closed, {inFlight} requests in flight',
  [MembershipEvent.RequestsHandedOver]: '{inFlight} requests handed over',
  [MembershipEvent.StopFinished]:
    'graceful shutdown finished, {cut} requests were cut off',
  [MembershipEvent.RestAnswered]:
    'the stop ends: {inFlight} requests left get their final answer',
  [MembershipEvent.CallCut]:
    'the exit cuts off {method} {path}, request {request}, after {milliseconds} ms, {unwrittenBytes} bytes of its answer unwritten',
  [MembershipEvent.RequestCut]:
    'the exit cuts off request {request}, whose caller is away, after {tokens} tokens',
  [MembershipEvent.RecordStored]:
    'replica of the record of request {request}, attempt {attempt}, stored for owner {owner}',
  [MembershipEvent.RecordRefused]:
    'replica of the record of request {request} refused: {reason}',
  [MembershipEvent.RecordUnderReplicated]:
    'record of request {request} has {holders} of {wanted} replicas',
  [MembershipEvent.ResumeFound]:
    'record of request {request} found at {holders} VMs, resuming as attempt {attempt}',
  [MembershipEvent.ResumeNotFound]:
    'record of request {request} not found: {answered} of {asked} VMs answered',
  [MembershipEvent.ResumeLost]:
    'request {request}, attempt {attempt}, is superseded by attempt {winner} of owner {owner}',
};
