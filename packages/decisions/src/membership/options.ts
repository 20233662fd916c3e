import type {DataCentreId} from '@zinniaspindle/shared';

/** Safety guards of membership; switched off only by tests that prove them. */
export interface MembershipGuards {
  /** Other peers probe a silent one before it is suspect. */
  readonly indirectProbes: boolean;
  /** Own slowness lengthens deadlines instead of accusing others. */
  readonly localHealth: boolean;
  /** A peer that is heard stays, whatever the VM list says. */
  readonly directContactOverridesList: boolean;
  /** An accused run answers with a higher incarnation. */
  readonly refutation: boolean;
  /** Suspicion comes before death. */
  readonly suspicion: boolean;
  /** News of a changed state is pushed at once. */
  readonly push: boolean;
  /** A VM that hears nobody keeps its verdicts to itself. */
  readonly isolation: boolean;
  /** A later run supersedes an earlier one of the same VM. */
  readonly runSupersession: boolean;
}

/** Every guard on. */
export const allMembershipGuards: MembershipGuards = {
  indirectProbes: true,
  localHealth: true,
  directContactOverridesList: true,
  refutation: true,
  suspicion: true,
  push: true,
  isolation: true,
  runSupersession: true,
};

/** How membership is set up. */
export interface MembershipOptions {
  /** Time between ticks of the host. */
  readonly tickMilliseconds: number;
  /** A tick later than this shows that this VM is slow. */
  readonly lateTickMilliseconds: number;
  /** How long after a late tick deadlines stay lengthened. */
  readonly degradedMilliseconds: number;
  /** Factor on every deadline while patient. */
  readonly localHealthFactor: number;
  readonly probePeriodMilliseconds: number;
  /** Time for the answer to a direct probe. */
  readonly directProbeTimeoutMilliseconds: number;
  /** Time for the answer through other peers. */
  readonly indirectProbeTimeoutMilliseconds: number;
  /** Peers asked to probe in one's place. */
  readonly indirectProbePeers: number;
  /** Suspicion before death in a fleet of ten; grows with the fleet. */
  readonly suspicionMilliseconds: number;
  /** Suspicion left once somebody else says dead, or the list lacks the peer. */
  readonly confirmedSuspicionMilliseconds: number;
  /** Silence of all peers after which this VM is cut off. */
  readonly isolationMilliseconds: number;
  /** How long a dead peer is remembered and probed now and then. */
  readonly deadPeerRetentionMilliseconds: number;
  readonly unreachableProbePeriodMilliseconds: number;
  /** Peers that news is pushed to at once. */
  readonly pushPeers: number;
  /** Up to this many peers, news is pushed to all. */
  readonly pushAllPeers: number;
  readonly syncPeriodMilliseconds: number;
  /** How long the own view stays unchanged before unequal views are merged. */
  readonly stableViewMilliseconds: number;
  /** How long a notice on an endpoint holds if nobody repeats it. */
  readonly noticeTtlMilliseconds: number;
  readonly digestPeriodMilliseconds: number;
  /** Regions with more VMs use the large digest period and entry limit. */
  readonly largeRegionVms: number;
  readonly largeDigestPeriodMilliseconds: number;
  readonly largeDigestEntries: number;
  /** Unchanged entries sent again with each digest, in turn. */
  readonly refreshedEntries: number;
  /** How long an entry holds after it was last sent. */
  readonly entryTtlMilliseconds: number;
  readonly regionDigestPeriodMilliseconds: number;
  readonly regionDigestEntries: number;
  /** Entry VMs named in a region's digest. */
  readonly regionEntryVms: number;
  /** Names the region of a data centre. */
  readonly getRegion: (dataCentre: DataCentreId) => string;
  readonly guards: MembershipGuards;
}

/** The options for a fleet of any size up to a few hundred VMs. */
export const defaultMembershipOptions: MembershipOptions = {
  tickMilliseconds: 100,
  lateTickMilliseconds: 300,
  degradedMilliseconds: 5000,
  localHealthFactor: 3,
  probePeriodMilliseconds: 500,
  directProbeTimeoutMilliseconds: 500,
  indirectProbeTimeoutMilliseconds: 700,
  indirectProbePeers: 3,
  suspicionMilliseconds: 2000,
  confirmedSuspicionMilliseconds: 1000,
  isolationMilliseconds: 2000,
  deadPeerRetentionMilliseconds: 600_000,
  unreachableProbePeriodMilliseconds: 1000,
  pushPeers: 4,
  pushAllPeers: 16,
  syncPeriodMilliseconds: 5000,
  stableViewMilliseconds: 3000,
  noticeTtlMilliseconds: 60_000,
  digestPeriodMilliseconds: 500,
  largeRegionVms: 16,
  largeDigestPeriodMilliseconds: 2000,
  largeDigestEntries: 5,
  refreshedEntries: 8,
  entryTtlMilliseconds: 60_000,
  regionDigestPeriodMilliseconds: 4000,
  regionDigestEntries: 24,
  regionEntryVms: 4,
  getRegion: () => 'all',
  guards: allMembershipGuards,
};
