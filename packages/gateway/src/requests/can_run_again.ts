import {RouteKind, type Route} from '../ports/index.js';

/** Tells whether the requests of a route may run more than once. */
export function canRunAgain({
  kind,
  isResumable,
}: Pick<Route, 'kind' | 'isResumable'>): boolean {
  if (kind === RouteKind.Streaming) return isResumable;
  return kind === RouteKind.Safe;
}
