import type {StageEndpoint} from './stage_types.js';

/** Sorts the endpoints that hold layers along them. */
export function sortHolders<Endpoint extends StageEndpoint>(
  endpoints: readonly Endpoint[],
): Endpoint[] {
  const holders = endpoints.filter(({held}) => held !== undefined);
  return holders.sort(
    (a, b) =>
      a.held!.first - b.held!.first ||
      a.held!.end - b.held!.end ||
      (a.id < b.id ? -1 : 1),
  );
}
