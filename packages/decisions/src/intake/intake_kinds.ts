/** Kinds of bytes that a VM takes from outside. */
export enum IntakeKind {
  /** The head of an answer of an endpoint or of the store. */
  Head = 'head',
  /** Heads of an endpoint before the one of its answer, such as status 103. */
  InterimHeads = 'informational heads',
  /** The bytes of an answer that are no part of its body. */
  Framing = 'framing of an answer',
  /** The body of an endpoint's answer that states a failure. */
  ErrorBody = 'error body',
  /** An event of a stream whose end has not come. */
  PartialEvent = 'partial event',
  /** The body of an endpoint's sealed answer until it is complete. */
  BufferedAnswer = 'buffered answer',
  /** An endpoint's report. */
  Report = 'report',
  /** Records that the store gives in one answer. */
  StorePage = 'page of the store',
  /** Any other answer of the store. */
  StoreAnswer = 'answer of the store',
  /** The first message of a peer's connection, before the peer is known. */
  PeerGreeting = 'first frame of a peer',
  /** A message of a known peer. */
  PeerFrame = 'frame of a peer',
  /** The body of a caller's request, within the operator's limit. */
  CallerBody = 'body of a request',
}

/** Whom bytes come from; each has a part of the memory of its own. */
export enum IntakeSource {
  /** Answers to requests. */
  Endpoints = 'endpoints',
  /** Reports; the body of an answer to an order is not read. */
  EndpointCalls = 'calls to endpoints',
  Store = 'store',
  Peers = 'peers',
  Callers = 'callers',
}

const kibibyte = 1024;
const mebibyte = 1024 * kibibyte;

/** The heads before an answer that an endpoint may send, in heads. */
export const maxInterimHeads = 8;

/** The bytes that one item of each kind may have, and whom it comes from. */
export interface KindLimit {
  readonly source: IntakeSource;
  /** In bytes; informational heads are counted one by one. */
  readonly maxItem: number;
}

/** The limits of all kinds, in bytes except for informational heads. */
export const kindLimits: Readonly<Record<IntakeKind, KindLimit>> = {
  [IntakeKind.Head]: makeLimit(IntakeSource.Endpoints, 16 * kibibyte),
  [IntakeKind.InterimHeads]: makeLimit(IntakeSource.Endpoints, maxInterimHeads),
  [IntakeKind.Framing]: makeLimit(IntakeSource.Endpoints, 256 * kibibyte),
  [IntakeKind.ErrorBody]: makeLimit(IntakeSource.Endpoints, 64 * kibibyte),
  [IntakeKind.PartialEvent]: makeLimit(IntakeSource.Endpoints, 64 * kibibyte),
  [IntakeKind.BufferedAnswer]: makeLimit(
    IntakeSource.Endpoints,
    256 * kibibyte,
  ),
  [IntakeKind.Report]: makeLimit(IntakeSource.EndpointCalls, 64 * kibibyte),
  [IntakeKind.StorePage]: makeLimit(IntakeSource.Store, 2 * mebibyte),
  [IntakeKind.StoreAnswer]: makeLimit(IntakeSource.Store, 64 * kibibyte),
  [IntakeKind.PeerGreeting]: makeLimit(IntakeSource.Peers, 64 * kibibyte),
  [IntakeKind.PeerFrame]: makeLimit(IntakeSource.Peers, 8 * mebibyte),
  [IntakeKind.CallerBody]: makeLimit(IntakeSource.Callers, Infinity),
};

function makeLimit(source: IntakeSource, maxItem: number): KindLimit {
  return {source, maxItem};
}
