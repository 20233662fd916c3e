/** Updates the stored objects and their indexes. */
import {
  formatObjectKey,
  ObjectKind,
  type ConfigObject,
  type ModelName,
  type ObjectKey,
} from '@zinniaspindle/shared';
import type {RevisedObject} from '../log/records.js';
import type {ConfigurationState, HistoryEntry} from './configuration_state.js';

/** @internal Stores an object, replacing any with the same key. */
export function setObject(
  state: ConfigurationState,
  revised: RevisedObject,
): void {
  const {object} = revised;
  const key = formatObjectKey(object);
  removeObject(state, object);
  state.objects.set(key, revised);
  switch (object.kind) {
    case ObjectKind.Account:
      for (const digest of object.tokenDigests) {
        state.tokens.set(digest, object.name);
      }
      if (object.operator) state.operators.add(object.name);
      break;
    case ObjectKind.Endpoint:
      addToModel(state.modelEndpoints, object.model, key);
      updateModelVersion(state, object.model);
      break;
    case ObjectKind.Pipeline:
      addToModel(state.modelPipelines, object.model, key);
      updateModelVersion(state, object.model);
      break;
    case ObjectKind.Link:
    case ObjectKind.Service:
      break;
  }
}

/** @internal Removes an object if it exists. */
export function removeObject(state: ConfigurationState, key: ObjectKey): void {
  const text = formatObjectKey(key);
  const old = state.objects.get(text)?.object;
  if (old === undefined) return;
  state.objects.delete(text);
  removeFromIndexes(state, old, text);
}

/** @internal Replaces all objects by those of a snapshot. */
export function swapObjects(
  state: ConfigurationState,
  objects: readonly RevisedObject[],
): void {
  state.objects = new Map();
  state.tokens = new Map();
  state.modelPipelines = new Map();
  state.modelEndpoints = new Map();
  state.operators = new Set();
  state.selected = new Map();
  state.modelVersions = new Map();
  for (const revised of objects) setObject(state, revised);
}

/** @internal Adds an entry to an object's bounded history. */
export function addHistory(
  state: ConfigurationState,
  entry: HistoryEntry,
): void {
  const key = formatObjectKey(entry.key);
  const entries = state.history.get(key) ?? [];
  entries.push(entry);
  state.history.set(key, entries);
  state.historyKeys.push(key);
  if (entries.length > state.options.maxHistoryPerObject) entries.shift();
  if (state.historyKeys.length > 2 * state.options.maxHistory) {
    dropOldHistory(state);
  }
}

/** Drops the entries of the `maxHistory` oldest changes over all objects. */
function dropOldHistory(state: ConfigurationState): void {
  const dropped = state.historyKeys.splice(0, state.options.maxHistory);
  const counts = new Map<string, number>();
  for (const key of state.historyKeys) {
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  for (const key of new Set(dropped)) {
    const entries = state.history.get(key);
    if (entries === undefined) continue;
    const kept = counts.get(key) ?? 0;
    if (kept === 0) state.history.delete(key);
    else entries.splice(0, Math.max(0, entries.length - kept));
  }
}

function removeFromIndexes(
  state: ConfigurationState,
  old: ConfigObject,
  key: string,
): void {
  switch (old.kind) {
    case ObjectKind.Account:
      for (const digest of old.tokenDigests) {
        if (state.tokens.get(digest) === old.name) state.tokens.delete(digest);
      }
      state.operators.delete(old.name);
      break;
    case ObjectKind.Endpoint:
      removeFromModel(state.modelEndpoints, old.model, key);
      updateModelVersion(state, old.model);
      break;
    case ObjectKind.Pipeline:
      removeFromModel(state.modelPipelines, old.model, key);
      updateModelVersion(state, old.model);
      break;
    case ObjectKind.Link:
    case ObjectKind.Service:
      break;
  }
}

function updateModelVersion(state: ConfigurationState, model: ModelName): void {
  state.version += 1;
  state.modelVersions.set(model, state.version);
}

function addToModel(
  models: Map<ModelName, Set<string>>,
  model: ModelName,
  key: string,
): void {
  const keys = models.get(model) ?? new Set();
  keys.add(key);
  models.set(model, keys);
}

function removeFromModel(
  models: Map<ModelName, Set<string>>,
  model: ModelName,
  key: string,
): void {
  const keys = models.get(model);
  keys?.delete(key);
  if (keys?.size === 0) models.delete(model);
}
