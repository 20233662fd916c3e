import {
  type EndpointId,
  type EngineProblem,
  EngineRefusal,
} from '@zinniaspindle/shared';

/** Thrown where an engine refuses or ends work; carries the wire's problem. */
export class EngineRefused extends Error {
  constructor(readonly problem: EngineProblem) {
    super(problem.detail);
    this.name = 'EngineRefused';
  }
}

/** Makes the refusal of one engine. */
export function makeRefusal(
  endpoint: EndpointId,
  reason: EngineRefusal,
  detail: string,
): EngineRefused {
  return new EngineRefused({endpoint, reason, detail});
}

/** Returns the HTTP status that goes with a refusal. */
export function getRefusalStatus(reason: EngineRefusal): number {
  switch (reason) {
    case EngineRefusal.Leaving:
    case EngineRefusal.Overloaded:
    case EngineRefusal.StageLost:
      return 503;
    case EngineRefusal.Cancelled:
    case EngineRefusal.DeadlinePassed:
    case EngineRefusal.ModelNotLoaded:
    case EngineRefusal.OldAttempt:
    case EngineRefusal.OldFencing:
    case EngineRefusal.UnknownStream:
    case EngineRefusal.WrongLayers:
      return 409;
  }
}
