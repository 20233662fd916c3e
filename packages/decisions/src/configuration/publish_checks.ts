/**
 * Validates a publish. The same checks run before it is submitted and when it
 * is folded; the result of the fold is the same on every VM.
 */
import {
  formatObjectKey,
  ObjectKind,
  type AccountId,
  type AccountObject,
  type ConfigObject,
  type EndpointObject,
  type ModelName,
  type PipelineObject,
} from '@zinniaspindle/shared';
import type {
  ConfigurationFault,
  ObjectChange,
  PublishRecord,
} from '../log/records.js';
import type {ConfigurationState} from './configuration_state.js';
import {checkName, isRecord, makeFault} from './field_checks.js';
import {checkObject, isObjectKind} from './object_checks.js';

/** Maximum number of changes of a publish. */
export const maxChanges = 1000;
/** Maximum number of faults in the outcome of a publish. */
export const maxFaults = 16;

/** The objects as they would be after the publish, and the faults so far. */
interface ProposedState {
  readonly state: ConfigurationState;
  /** Changed objects by formatted key; undefined for deleted objects. */
  readonly changed: Map<string, ConfigObject | undefined>;
  readonly faults: ConfigurationFault[];
}

/** Lists the faults of a publish; none if it is valid. */
export function checkPublish(
  state: ConfigurationState,
  record: PublishRecord,
): ConfigurationFault[] {
  const proposal: ProposedState = {state, changed: new Map(), faults: []};
  checkOperator(proposal, record.operator);
  checkChanges(proposal, record.changes);
  if (proposal.faults.length === 0) {
    checkTokens(proposal);
    checkModels(proposal);
    checkHasOperator(proposal);
  }
  return proposal.faults.slice(0, maxFaults);
}

function checkOperator(proposal: ProposedState, operator: AccountId): void {
  const {state, faults} = proposal;
  const isEmpty = state.objects.size === 0;
  const isAllowed = isEmpty
    ? operator === state.options.bootstrapOperator
    : state.operators.has(operator);
  if (isAllowed) return;
  const reason = isEmpty
    ? 'only the bootstrap operator may publish into an empty configuration'
    : 'is not an operator account';
  faults.push(makeFault('operator', operator, reason));
}

function checkChanges(
  proposal: ProposedState,
  changes: readonly ObjectChange[],
): void {
  const {faults} = proposal;
  if (changes.length === 0 || changes.length > maxChanges) {
    const reason = `must have 1 to ${maxChanges} entries`;
    faults.push(makeFault('changes.length', changes.length, reason));
    return;
  }
  for (const [index, change] of changes.entries()) {
    checkChange(proposal, change, `changes[${index}]`);
    if (faults.length >= maxFaults) return;
  }
}

/** Checks one change, which is untrusted input and may have any shape. */
function checkChange(
  proposal: ProposedState,
  change: ObjectChange,
  path: string,
): void {
  const {faults, changed} = proposal;
  const key: unknown = isRecord(change) ? change.key : undefined;
  if (!isRecord(key) || !isObjectKind(key['kind'])) {
    faults.push(makeFault(`${path}.key`, key, 'must name a kind and a name'));
    return;
  }
  const nameFault = checkName(key['name']);
  if (nameFault !== undefined) {
    faults.push(makeFault(`${path}.key.name`, key['name'], nameFault));
    return;
  }
  const text = formatObjectKey(change.key);
  if (changed.has(text)) {
    faults.push(makeFault(path, text, 'changes an object a second time'));
    return;
  }
  changed.set(text, change.object);
  checkBase(proposal, change, text);
  if (change.object === undefined) return;
  const count = faults.length;
  checkObject(change.object, change.key.kind, text, faults);
  if (faults.length > count || change.object.name === change.key.name) return;
  const reason = `must be the name of the key, ${change.key.name}`;
  faults.push(makeFault(`${text}.name`, change.object.name, reason));
}

function checkBase(
  proposal: ProposedState,
  change: ObjectChange,
  key: string,
): void {
  const {state, faults} = proposal;
  const revision = state.objects.get(key)?.revision ?? -1;
  if (change.object === undefined && revision < 0) {
    faults.push(makeFault(key, change.base, 'does not exist'));
    return;
  }
  if (!state.options.guards.checksBase || change.base === revision) return;
  const reason =
    revision < 0
      ? 'does not exist at any revision'
      : `revision ${revision} is in force`;
  faults.push(makeFault(`${key}.base`, change.base, reason));
}

/** Checks that each bearer token belongs to only one account. */
function checkTokens(proposal: ProposedState): void {
  const holders = new Map<string, AccountId>();
  for (const object of proposal.changed.values()) {
    if (object?.kind !== ObjectKind.Account) continue;
    for (const digest of object.tokenDigests) {
      const holder = holders.get(digest) ?? findHolder(proposal, digest);
      holders.set(digest, object.name);
      if (holder === undefined || holder === object.name) continue;
      const field = `${formatObjectKey(object)}.tokenDigests`;
      const reason = `is a token of account ${holder} already`;
      proposal.faults.push(makeFault(field, digest, reason));
    }
  }
}

/** Finds the account that has a token, unless the publish changes it. */
function findHolder(
  proposal: ProposedState,
  digest: string,
): AccountId | undefined {
  const name = proposal.state.tokens.get(digest);
  if (name === undefined) return undefined;
  const key = formatObjectKey({kind: ObjectKind.Account, name});
  return proposal.changed.has(key) ? undefined : name;
}

/**
 * Checks that all pipelines of a model have the same layer count, and that
 * the layers of its endpoints are within it.
 */
function checkModels(proposal: ProposedState): void {
  const models = new Set<ModelName>();
  for (const object of proposal.changed.values()) {
    if (isOfModel(object)) models.add(object.model);
  }
  for (const model of models) checkModel(proposal, model);
}

function checkModel(proposal: ProposedState, model: ModelName): void {
  const objects = listModelObjects(proposal, model);
  let first: PipelineObject | undefined;
  for (const object of objects) {
    if (object.kind !== ObjectKind.Pipeline) continue;
    first ??= object;
    if (object.layerCount === first.layerCount) continue;
    const reason = `pipeline ${first.name} sets model ${model} to ${first.layerCount} layers`;
    const field = `${formatObjectKey(object)}.layerCount`;
    proposal.faults.push(makeFault(field, object.layerCount, reason));
  }
  if (first === undefined) return;
  for (const object of objects) {
    if (object.kind !== ObjectKind.Endpoint) continue;
    if (object.layers.end <= first.layerCount) continue;
    const reason = `model ${model} has ${first.layerCount} layers according to pipeline ${first.name}`;
    const field = `${formatObjectKey(object)}.layers.end`;
    proposal.faults.push(makeFault(field, object.layers.end, reason));
    if (proposal.faults.length >= maxFaults) return;
  }
}

/**
 * Lists the pipelines and endpoints of a model: unchanged ones first, by key.
 * The order is fixed, so that every VM reports the same faults.
 */
function listModelObjects(
  proposal: ProposedState,
  model: ModelName,
): (EndpointObject | PipelineObject)[] {
  const {state, changed} = proposal;
  const objects = listUnchanged(proposal, state.modelPipelines.get(model));
  // With an unchanged layer count, unchanged endpoints are valid already.
  if (hasChangedPipeline(proposal, model)) {
    objects.push(...listUnchanged(proposal, state.modelEndpoints.get(model)));
  }
  for (const object of changed.values()) {
    if (isOfModel(object) && object.model === model) objects.push(object);
  }
  return objects;
}

function listUnchanged(
  proposal: ProposedState,
  keys: Iterable<string> = [],
): (EndpointObject | PipelineObject)[] {
  const {state, changed} = proposal;
  const objects: (EndpointObject | PipelineObject)[] = [];
  for (const key of [...keys].sort()) {
    const object = state.objects.get(key)?.object;
    if (!changed.has(key) && isOfModel(object)) objects.push(object);
  }
  return objects;
}

function hasChangedPipeline(
  proposal: ProposedState,
  model: ModelName,
): boolean {
  for (const object of proposal.changed.values()) {
    if (object?.kind !== ObjectKind.Pipeline) continue;
    if (object.model === model) return true;
  }
  return false;
}

function isOfModel(
  object: ConfigObject | undefined,
): object is EndpointObject | PipelineObject {
  return (
    object?.kind === ObjectKind.Endpoint || object?.kind === ObjectKind.Pipeline
  );
}

/**
 * Checks that an operator account remains; without one nobody could publish.
 */
function checkHasOperator(proposal: ProposedState): void {
  const {state, changed, faults} = proposal;
  for (const object of changed.values()) {
    if (object?.kind === ObjectKind.Account && object.operator) return;
  }
  const lost: string[] = [];
  for (const name of [...state.operators].sort()) {
    const key = formatObjectKey({kind: ObjectKind.Account, name});
    if (!changed.has(key)) return;
    lost.push(key);
  }
  const reason = 'at least one account must stay an operator';
  const field = lost[0] ?? 'changes';
  faults.push(
    makeFault(`${field}.operator`, getOperatorFlag(proposal, field), reason),
  );
}

function getOperatorFlag(
  proposal: ProposedState,
  key: string,
): boolean | undefined {
  const object = proposal.changed.get(key) as AccountObject | undefined;
  return object?.operator;
}
