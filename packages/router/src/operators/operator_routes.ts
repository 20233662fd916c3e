import {
  findPublishOutcome,
  getObject,
  listHistory,
  listObjects,
  PublishAnswer,
  RecordKind,
} from '@zinniaspindle/decisions';
import type {
  ObjectChange,
  PublishRecord,
  PublishReport,
} from '@zinniaspindle/decisions';
import {ObjectKind, toId} from '@zinniaspindle/shared';
import type {
  AccountId,
  Deadline,
  Instant,
  ObjectKey,
  PublishId,
} from '@zinniaspindle/shared';
import {v7 as makeUuidV7} from 'uuid';
import {
  hasSameDigest,
  hashText,
  readBearerToken,
} from '../callers/authenticate.js';
import type {FindAccount} from '../callers/authenticate.js';
import {
  CallerError,
  CallerErrorCode,
  makeFieldError,
} from '../callers/errors.js';
import {readDeadline} from '../callers/read_request.js';
import type {DeadlineLimits} from '../callers/read_request.js';
import type {ConfigurationHost} from '../configuration/configuration_host.js';
import {sendJson} from '../http/answers.js';
import {readJsonBody} from '../http/read_body.js';
import type {Route, RouteCall} from '../http/route_table.js';
import type {DecisionRecord} from '../logging/decision_record.js';

/** What the operators' routes need from the rest of the VM. */
export interface OperatorPorts {
  readonly configuration: ConfigurationHost;
  readonly decisions: DecisionRecord;
  readonly findAccount: FindAccount;
  /** Who may make the first publish, and the digest of its token. */
  readonly bootstrapAccount: AccountId;
  readonly bootstrapTokenDigest: string;
  readonly describeStatus: () => unknown;
  /** Starts the planned stop of this VM. */
  readonly startDrain: () => void;
  readonly getNow: () => Instant;
  readonly maxBodyBytes: number;
  readonly deadlines: DeadlineLimits;
}

const statusOk = 200;
const statusAccepted = 202;

/** Status of the answer to a publish. */
const publishStatus: Readonly<Record<PublishAnswer, number>> = {
  [PublishAnswer.Accepted]: statusOk,
  [PublishAnswer.NotAccepted]: 503,
  [PublishAnswer.Refused]: 409,
  [PublishAnswer.Unknown]: statusAccepted,
};

/** Builds the operators' routes. */
export function buildOperatorRoutes(ports: OperatorPorts): Route[] {
  const routes = new OperatorRoutes(ports);
  const get = (path: string, handle: (call: RouteCall) => void): Route => ({
    method: 'GET',
    path,
    handle,
  });
  return [
    {
      method: 'POST',
      path: '/v1/publishes',
      handle: call => routes.acceptPublish(call),
    },
    {
      method: 'POST',
      path: '/v1/drain',
      handle: call => routes.startDrain(call),
    },
    get('/v1/publishes/{id}', call => routes.sendPublish(call)),
    get('/v1/objects', call => routes.sendObjects(call)),
    get('/v1/objects/{kind}/{name}', call => routes.sendObject(call)),
    get('/v1/objects/{kind}/{name}/history', call => routes.sendHistory(call)),
    get('/v1/status', call => routes.sendStatus(call)),
    get('/v1/explain/{id}', call => routes.sendExplanation(call)),
  ];
}

class OperatorRoutes {
  constructor(private readonly ports: OperatorPorts) {}

  async acceptPublish(call: RouteCall): Promise<void> {
    const {ports} = this;
    const operator = this.getOperator(call);
    const limits = {maxBytes: ports.maxBodyBytes};
    const body = await readJsonBody(call.request, limits);
    if (body.isErr) throw body.error;
    const now = ports.getNow();
    const deadline = readDeadline(call.request, ports.deadlines, now);
    const record = readPublish(body.value, operator);
    const report = await this.publish(record, deadline);
    sendJson(call.response, publishStatus[report.answer], report);
  }

  sendPublish(call: RouteCall): void {
    this.getOperator(call);
    const publish = toId<PublishId>(call.params[0]!);
    const {configuration} = this.ports;
    const report = configuration.getReport(publish);
    const outcome = findPublishOutcome(configuration.state, publish);
    sendJson(call.response, statusOk, {...report, ...outcome});
  }

  sendObjects(call: RouteCall): void {
    this.getOperator(call);
    const text = call.url.searchParams.get('kind');
    const kind = text === null ? undefined : readKind(text);
    const {state} = this.ports.configuration;
    const objects = listObjects(state, kind);
    sendJson(call.response, statusOk, {position: state.position, objects});
  }

  sendObject(call: RouteCall): void {
    this.getOperator(call);
    const key = readKey(call);
    const object = getObject(this.ports.configuration.state, key);
    if (object !== undefined) return sendJson(call.response, statusOk, object);
    throw makeNoObjectError(key);
  }

  sendHistory(call: RouteCall): void {
    this.getOperator(call);
    const key = readKey(call);
    const changes = listHistory(this.ports.configuration.state, key);
    sendJson(call.response, statusOk, {key, changes});
  }

  sendStatus(call: RouteCall): void {
    sendJson(call.response, statusOk, this.ports.describeStatus());
  }

  sendExplanation(call: RouteCall): void {
    this.getOperator(call);
    const id = call.params[0]!;
    const decisions = this.ports.decisions.list(id);
    sendJson(call.response, statusOk, {id, decisions});
  }

  startDrain(call: RouteCall): void {
    this.getOperator(call);
    this.ports.startDrain();
    sendJson(call.response, statusAccepted, {draining: true});
  }

  private publish(
    record: PublishRecord,
    deadline: Deadline,
  ): Promise<PublishReport> {
    return new Promise(resolve =>
      this.ports.configuration.publish(record, deadline, resolve),
    );
  }

  /** Finds the operator of a call by its bearer token. */
  private getOperator(call: RouteCall): AccountId {
    const {ports} = this;
    const token = readBearerToken(call.request);
    if (token.isErr) throw token.error;
    const digest = hashText(token.value);
    const account = ports.findAccount(digest);
    if (account?.operator === true) return account.name;
    if (account === undefined && this.isBootstrap(digest)) {
      return ports.bootstrapAccount;
    }
    throw new CallerError(
      CallerErrorCode.Forbidden,
      'the bearer token belongs to no operator',
      'authorization',
    );
  }

  /** The bootstrap token counts only while no operator is configured. */
  private isBootstrap(digest: string): boolean {
    const {configuration, bootstrapTokenDigest} = this.ports;
    if (configuration.state.operators.size > 0) return false;
    return hasSameDigest(digest, bootstrapTokenDigest);
  }
}

function readPublish(body: unknown, operator: AccountId): PublishRecord {
  const fields = (body ?? {}) as Record<string, unknown>;
  for (const name of Object.keys(fields)) {
    if (name === 'publish' || name === 'changes') continue;
    throw makeFieldError(name, fields[name], 'one of publish, changes');
  }
  const {publish, changes} = fields;
  if (publish !== undefined && typeof publish !== 'string') {
    throw makeFieldError('publish', publish, 'a text');
  }
  if (!Array.isArray(changes) || changes.length === 0) {
    throw makeFieldError('changes', changes, 'a list that is not empty');
  }
  return {
    kind: RecordKind.Publish,
    publish: toId(publish ?? makeUuidV7()),
    operator,
    changes: changes as ObjectChange[],
  };
}

function readKind(text: string): ObjectKind {
  for (const kind of Object.values(ObjectKind)) {
    if (kind === text) return kind;
  }
  const expected = `one of ${Object.values(ObjectKind).join(', ')}`;
  throw makeFieldError('kind', text, expected);
}

function readKey(call: RouteCall): ObjectKey {
  const [kind, name] = call.params;
  return {kind: readKind(kind!), name: name!};
}

function makeNoObjectError(key: ObjectKey): CallerError {
  return new CallerError(
    CallerErrorCode.NotFound,
    `there is no ${key.kind} "${key.name}"`,
    'name',
    key.name,
  );
}
