import type {ActionAnswer} from '@zinniaspindle/decisions';
import {FinalAnswer, toId} from '@zinniaspindle/shared';
import type {
  AccountObject,
  ActionKey,
  Instant,
  ServiceName,
  ServiceObject,
} from '@zinniaspindle/shared';
import type {ActionHost} from '../actions/action_host.js';
import {sendJson, sendProblem} from '../http/answers.js';
import {readJsonBody} from '../http/read_body.js';
import type {Route, RouteCall} from '../http/route_table.js';
import {makeAnswerProblem} from './answer_problem.js';
import {hashText, readAccount} from './authenticate.js';
import type {FindAccount} from './authenticate.js';
import {CallerError, CallerErrorCode, makeFieldError} from './errors.js';
import {readDeadline, readHeader} from './read_request.js';
import type {DeadlineLimits} from './read_request.js';

/** What the action routes need from the rest of the VM. */
export interface ActionRoutePorts {
  readonly actions: ActionHost;
  readonly findAccount: FindAccount;
  /** Finds a service that an account may use. */
  readonly findService: (
    name: ServiceName,
    account: AccountObject,
  ) => ServiceObject | undefined;
  /** Throws a CallerError when the VM takes no new work. */
  readonly checkReady: () => void;
  readonly getNow: () => Instant;
  readonly maxBodyBytes: number;
  readonly deadlines: DeadlineLimits;
}

const statusOk = 200;
const uuidV7Pattern =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Builds the route through which callers run protected actions. */
export function buildActionRoutes(ports: ActionRoutePorts): Route[] {
  return [
    {
      method: 'POST',
      path: '/v1/services/{name}/actions',
      handle: call => acceptAction(ports, call),
    },
  ];
}

async function acceptAction(
  ports: ActionRoutePorts,
  call: RouteCall,
): Promise<void> {
  const {request, response} = call;
  const account = readAccount(request, ports.findAccount);
  if (account.isErr) throw account.error;
  const service = getService(ports, call.params[0]!, account.value);
  const key = readActionKey(readHeader(request, 'idempotency-key'));
  const body = await readJsonBody(request, {maxBytes: ports.maxBodyBytes});
  if (body.isErr) throw body.error;
  const {action, text} = readAction(body.value);
  const deadline = readDeadline(request, ports.deadlines, ports.getNow());
  ports.checkReady();
  const cancel = ports.actions.acceptAsk(
    {
      account: account.value.name,
      key,
      service: service.name,
      digest: hashText(JSON.stringify([service.name, action, text])),
      deadline,
      callMilliseconds: service.callMilliseconds,
      hasLookup: service.hasLookup,
      repeats: readHeader(request, 'x-repeat') === 'true',
      action,
      body: text,
    },
    answer => sendAnswer(call, key, answer),
  );
  response.on('close', () => {
    if (!response.writableFinished) cancel();
  });
}

function getService(
  ports: ActionRoutePorts,
  text: string,
  account: AccountObject,
): ServiceObject {
  const name = toId<ServiceName>(text);
  const service = ports.findService(name, account);
  if (service !== undefined) return service;
  throw new CallerError(
    CallerErrorCode.NotFound,
    `client account "${account.name}" has no service "${name}"`,
    'service',
    name,
  );
}

/** Reads the idempotency key, a UUIDv7. */
export function readActionKey(text: string | undefined): ActionKey {
  if (text !== undefined && uuidV7Pattern.test(text)) return toId(text);
  throw makeFieldError('idempotency-key', text, 'a UUIDv7');
}

function readAction(body: unknown): {action: string; text: string} {
  const fields = (body ?? {}) as Record<string, unknown>;
  for (const name of Object.keys(fields)) {
    if (name === 'action' || name === 'body') continue;
    throw makeFieldError(name, fields[name], 'one of action, body');
  }
  const {action} = fields;
  if (typeof action !== 'string' || action === '') {
    throw makeFieldError('action', action, 'a text that is not empty');
  }
  return {action, text: JSON.stringify(fields['body'] ?? null)};
}

function sendAnswer(
  call: RouteCall,
  key: ActionKey,
  answer: ActionAnswer,
): void {
  if (answer.answer === FinalAnswer.Completed) {
    const {answer: final, result} = answer;
    sendJson(call.response, statusOk, {key, answer: final, result});
    return;
  }
  const problem = makeAnswerProblem(`action "${key}"`, answer);
  sendProblem(call.response, problem);
}
