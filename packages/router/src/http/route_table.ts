import type http from 'node:http';

/** One request as a route handler sees it. */
export interface RouteCall {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly url: URL;
  /** Values of the {name} segments of the route's path, in order. */
  readonly params: readonly string[];
}

/** Handles one request; sends the answer itself. */
export type RouteHandler = (call: RouteCall) => Promise<void> | void;

/** One method and path; segments in braces match anything. */
export interface Route {
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly path: string;
  readonly handle: RouteHandler;
}

/** A route that matched, with its parameters. */
export interface RouteMatch {
  readonly route: Route;
  readonly params: readonly string[];
}

/** Finds the route of a request; undefined when there is none. */
export function findRoute(
  routes: readonly Route[],
  method: string,
  path: string,
): RouteMatch | undefined {
  const segments = path.split('/');
  for (const route of routes) {
    if (route.method !== method) continue;
    const params = matchPath(route.path.split('/'), segments);
    if (params !== undefined) return {route, params};
  }
  return undefined;
}

function matchPath(
  pattern: readonly string[],
  segments: readonly string[],
): string[] | undefined {
  if (pattern.length !== segments.length) return undefined;
  const params: string[] = [];
  for (const [index, part] of pattern.entries()) {
    const segment = segments[index]!;
    if (part.startsWith('{')) {
      const value = decodeSegment(segment);
      if (value === undefined) return undefined;
      params.push(value);
    } else if (part !== segment) {
      return undefined;
    }
  }
  return params;
}

function decodeSegment(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
