/** Queries of the current configuration. */
import {
  formatObjectKey,
  ObjectKind,
  type AccountObject,
  type ConfigObject,
  type EndpointObject,
  type Labels,
  type ObjectKey,
  type PipelineName,
  type PipelineObject,
  type PublishId,
  type ServiceName,
  type ServiceObject,
} from '@zinniaspindle/shared';
import type {PublishOutcome, RevisedObject} from '../log/records.js';
import type {ConfigurationState, HistoryEntry} from './configuration_state.js';
import {matchSelector, parseSelector, type Selector} from './selectors.js';

const maxCachedSelectors = 4096;

type ObjectOf<Kind extends ObjectKind> = Extract<ConfigObject, {kind: Kind}>;

/** Gets an object and its revision. */
export function getObject(
  state: ConfigurationState,
  key: ObjectKey,
): RevisedObject | undefined {
  return state.objects.get(formatObjectKey(key));
}

/** Lists the objects of a kind, or all, in order of key. */
export function listObjects(
  state: ConfigurationState,
  kind?: ObjectKind,
): RevisedObject[] {
  const listed: [string, RevisedObject][] = [];
  for (const entry of state.objects) {
    if (kind === undefined || entry[1].object.kind === kind) listed.push(entry);
  }
  listed.sort(([a], [b]) => (a < b ? -1 : 1));
  return listed.map(([, revised]) => revised);
}

/** Lists the last changes of an object, oldest first. */
export function listHistory(
  state: ConfigurationState,
  key: ObjectKey,
): readonly HistoryEntry[] {
  return state.history.get(formatObjectKey(key)) ?? [];
}

/** Finds the account of a bearer token by its SHA-256 digest. */
export function findAccount(
  state: ConfigurationState,
  tokenDigest: string,
): AccountObject | undefined {
  const name = state.tokens.get(tokenDigest);
  return name === undefined
    ? undefined
    : getOfKind(state, ObjectKind.Account, name);
}

/** Finds a pipeline by name. */
export function findPipeline(
  state: ConfigurationState,
  name: PipelineName,
): PipelineObject | undefined {
  return getOfKind(state, ObjectKind.Pipeline, name);
}

/** Finds a service by name. */
export function findService(
  state: ConfigurationState,
  name: ServiceName,
): ServiceObject | undefined {
  return getOfKind(state, ObjectKind.Service, name);
}

/** Finds the outcome of a publish; undefined if it was not folded here. */
export function findPublishOutcome(
  state: ConfigurationState,
  publish: PublishId,
): PublishOutcome | undefined {
  return state.outcomes.get(publish);
}

/**
 * Lists the endpoints of a pipeline's model that match its selector, by name.
 */
export function listPipelineEndpoints(
  state: ConfigurationState,
  pipeline: PipelineObject,
): readonly EndpointObject[] {
  const known = state.selected.get(pipeline.name);
  const version = state.modelVersions.get(pipeline.model) ?? 0;
  if (known?.version === version) return known.endpoints;
  const endpoints: EndpointObject[] = [];
  for (const key of state.modelEndpoints.get(pipeline.model) ?? []) {
    const object = state.objects.get(key)?.object;
    if (object?.kind !== ObjectKind.Endpoint) continue;
    if (isSelected(state, pipeline.endpointSelector, object.labels)) {
      endpoints.push(object);
    }
  }
  endpoints.sort((a, b) => (a.name < b.name ? -1 : 1));
  state.selected.set(pipeline.name, {version, endpoints});
  return endpoints;
}

/** Tells whether labels match a selector; false if it does not parse. */
export function isSelected(
  state: ConfigurationState,
  selectorText: string,
  labels: Labels,
): boolean {
  const selector = getSelector(state, selectorText);
  return selector !== undefined && matchSelector(selector, labels);
}

function getSelector(
  state: ConfigurationState,
  text: string,
): Selector | undefined {
  const known = state.selectors.get(text);
  if (known !== undefined) return known;
  const parsed = parseSelector(text);
  if (parsed.isErr) return undefined;
  if (state.selectors.size >= maxCachedSelectors) state.selectors.clear();
  state.selectors.set(text, parsed.value);
  return parsed.value;
}

function getOfKind<Kind extends ObjectKind>(
  state: ConfigurationState,
  kind: Kind,
  name: string,
): ObjectOf<Kind> | undefined {
  const object = getObject(state, {kind, name})?.object;
  return object?.kind === kind ? (object as ObjectOf<Kind>) : undefined;
}
