import type {DataCentreId} from '@zinniaspindle/shared';

/**
 * Safeguards of membership; only tests switch them off, to show their effect.
 */
export interface MembershipGuards {
  /** Other peers probe a silent peer before it becomes suspect. */
  readonly indirectProbes: boolean;
  /**
   * A VM that runs late extends its deadlines instead of suspecting its peers.
   */
  readonly localHealth: boolean;
  /** A peer in direct contact stays, even if the VM list lacks it. */
  readonly directContactOverridesList: boolean;
  /** A suspected run refutes the suspicion with a higher incarnation. */
  readonly refutation: boolean;
  /** A peer is suspect for a while before it is declared dead. */
  readonly suspicion: boolean;
  /** Gossip about a changed state is pushed at once. */
  readonly push: boolean;
  /** A VM without contact with any peer does not gossip its suspicions. */
  readonly isolation: boolean;
  /** A later run supersedes an earlier run of the same VM. */
  readonly runSupersession: boolean;
}

/** All safeguards switched on. */
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

/** Options of membership. */
export interface MembershipOptions {
  /** Interval between ticks of the host. */
  readonly tickMilliseconds: number;
  /** A tick delayed by this much shows that this VM runs slowly. */
  readonly lateTickMilliseconds: number;
  /** How long deadlines stay extended after a late tick. */
  readonly degradedMilliseconds: number;
  /** Factor on every timeout while deadlines are extended. */
  readonly localHealthFactor: number;
  readonly probePeriodMilliseconds: number;
  /** Timeout of a direct probe. */
  readonly directProbeTimeoutMilliseconds: number;
  /** Timeout of a probe through other peers. */
  readonly indirectProbeTimeoutMilliseconds: number;
  /** Peers asked to probe on this VM's behalf. */
  readonly indirectProbePeers: number;
  /**
   * Suspicion timeout in a fleet of ten; grows with the logarithm of the fleet.
   */
  readonly suspicionMilliseconds: number;
  /**
   * Remaining suspicion once a peer says dead or the VM list lacks the suspect.
   */
  readonly confirmedSuspicionMilliseconds: number;
  /**
   * Time without contact with any peer after which this VM counts as isolated.
   */
  readonly isolationMilliseconds: number;
  /** How long a dead peer stays in the view and is probed from time to time. */
  readonly deadPeerRetentionMilliseconds: number;
  readonly unreachableProbePeriodMilliseconds: number;
  /** Number of random peers that new gossip is pushed to. */
  readonly pushPeers: number;
  /** With at most this many peers, new gossip is pushed to all of them. */
  readonly pushAllPeers: number;
  readonly syncPeriodMilliseconds: number;
  /** How long this view must be unchanged before a sync of differing views. */
  readonly stableViewMilliseconds: number;
  /** How long an endpoint notice is valid unless it is refreshed. */
  readonly noticeTtlMilliseconds: number;
  readonly digestPeriodMilliseconds: number;
  /** Regions with more VMs use the large digest period and entry limit. */
  readonly largeRegionVms: number;
  readonly largeDigestPeriodMilliseconds: number;
  readonly largeDigestEntries: number;
  /** Unchanged entries sent again with each digest, in rotation. */
  readonly refreshedEntries: number;
  /** How long a digest entry is valid after it was last sent. */
  readonly entryTtlMilliseconds: number;
  readonly regionDigestPeriodMilliseconds: number;
  readonly regionDigestEntries: number;
  /** Number of entry VMs listed in a region's digest. */
  readonly regionEntryVms: number;
  /** Returns the name of a data centre's region. */
  readonly getRegion: (dataCentre: DataCentreId) => string;
  readonly guards: MembershipGuards;
}

/** Options for fleets of up to a few hundred VMs. */
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
