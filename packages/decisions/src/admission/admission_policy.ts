/** What a deployment optimizes for. */
export enum Objective {
  RecoveryTime = 'recoveryTime',
  Throughput = 'throughput',
}

/**
 * Conditions that a chain plan must meet before its request starts, stricter
 * for accounts above their fair rate ("spare") than for those within it.
 */
export interface AdmissionPolicy {
  /** Longest time between tokens for accounts within their fair rate. */
  readonly maxGapMilliseconds: number;
  /** Longest time between tokens for accounts above their fair rate. */
  readonly maxSpareGapMilliseconds: number;
  /**
   * Highest fullness of any stage for accounts within their fair rate: its step
   * time over its layers' share of the target token gap.
   */
  readonly maxFullness: number;
  /** Highest fullness of any stage for accounts above their fair rate. */
  readonly maxSpareFullness: number;
  /** Longest wait for prefill at any engine of the chain. */
  readonly maxEngineWaitMilliseconds: number;
  /** Share of the fleet's throughput bound that fair rates are computed from. */
  readonly capacityShare: number;
  /** Share of the bound that accounts above their fair rates may use. */
  readonly spareShare: number;
}

const throughputPolicy: AdmissionPolicy = {
  maxGapMilliseconds: 27,
  maxSpareGapMilliseconds: 25.5,
  maxFullness: 1,
  maxSpareFullness: 0.9,
  maxEngineWaitMilliseconds: 600,
  capacityShare: 0.95,
  spareShare: 0.05,
};

const recoveryTimePolicy: AdmissionPolicy = {
  maxGapMilliseconds: 25,
  maxSpareGapMilliseconds: 23.5,
  maxFullness: 0.92,
  maxSpareFullness: 0.75,
  maxEngineWaitMilliseconds: 400,
  capacityShare: 0.88,
  spareShare: 0.1,
};

/** Picks the admission policy for an objective. */
export function pickAdmissionPolicy(objective: Objective): AdmissionPolicy {
  switch (objective) {
    case Objective.RecoveryTime:
      return recoveryTimePolicy;
    case Objective.Throughput:
      return throughputPolicy;
  }
}
