import type {Configuration, Route, RouteTarget} from '../ports/index.js';

/** Finds routes by host and path prefix. */
export class RouteIndex {
  /** Routes by host, sorted by prefix length, longest first. */
  private readonly byHost = new Map<string, Route[]>();

  constructor(readonly configuration: Configuration) {
    for (const route of configuration.routes) {
      const routes = this.byHost.get(route.host) ?? [];
      routes.push(route);
      this.byHost.set(route.host, routes);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** Finds the route with the longest matching prefix; the query is ignored. */
  find(host: string, target: string): Route | undefined {
    const [path] = target.split('?');
    for (const route of this.byHost.get(host) ?? []) {
      if (path!.startsWith(route.pathPrefix)) return route;
    }
    return undefined;
  }
}

/** Picks one of a route's services by weight; draw is random in [0, 1). */
export function pickTarget(
  targets: readonly RouteTarget[],
  draw: number,
): string {
  let total = 0;
  for (const {weight} of targets) total += weight;
  let left = draw * total;
  for (const {service, weight} of targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return targets.at(-1)!.service;
}
