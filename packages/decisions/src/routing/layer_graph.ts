import type {EndpointView} from './endpoint_view.js';

/** The layer graph of one model: boundaries are vertices, endpoints are edges. */
export interface ModelGraph {
  /** Endpoints in ascending order of their first layer. */
  readonly edges: readonly EndpointView[];
  /** The layers at which a layer range starts or ends, ascending. */
  readonly boundaries: readonly number[];
  /** For each edge, the index of its first layer in boundaries. */
  readonly startIndexes: readonly number[];
  /** For each edge, the index of its end layer in boundaries. */
  readonly endIndexes: readonly number[];
}

/** Builds the layer graph of the endpoints that hold one model. */
export function buildModelGraph(
  endpointViews: readonly EndpointView[],
): ModelGraph {
  const edges = [...endpointViews].sort(compareFirstLayers);
  const layers = new Set<number>([0]);
  for (const edge of edges) {
    layers.add(edge.object.layers.first);
    layers.add(edge.object.layers.end);
  }
  const boundaries = [...layers].sort((a, b) => a - b);
  const indexes = new Map(boundaries.map((layer, index) => [layer, index]));
  const startIndexes = edges.map(edge =>
    indexes.get(edge.object.layers.first)!,
  );
  const endIndexes = edges.map(edge => indexes.get(edge.object.layers.end)!);
  return {edges, boundaries, startIndexes, endIndexes};
}

function compareFirstLayers(a: EndpointView, b: EndpointView): number {
  return a.object.layers.first - b.object.layers.first;
}
