import type http from 'node:http';
import type {Deadline, GatewayEvent, Instant} from '@zinniaspindle/shared';
import type {EndpointTable} from '../fleet/endpoint_table.js';
import type {PathTable} from '../fleet/path_table.js';
import type {EndpointProber} from '../fleet/endpoint_prober.js';
import type {EventFields} from '../log/event_log.js';
import type {Metrics} from '../log/metrics.js';
import type {
  Account,
  CallerRequest,
  ExchangeCodec,
  Route,
  Service,
} from '../ports/index.js';
import type {OwnAnswer} from './failure.js';
import type {RepeatBudgets} from './repeat_budgets.js';

/** What the serving of requests shares. */
export interface Serving {
  readonly codec: ExchangeCodec;
  readonly endpoints: EndpointTable;
  readonly paths: PathTable;
  readonly prober: EndpointProber;
  readonly budgets: RepeatBudgets;
  readonly metrics: Metrics;
  readonly writeEvent: (event: GatewayEvent, fields: EventFields) => void;
  readonly getNow: () => Instant;
  readonly isStopping: () => boolean;
}

/** One request of a caller that was read whole and may be run. */
export interface RequestContext {
  readonly serving: Serving;
  readonly request: CallerRequest;
  readonly method: string;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: Service;
  readonly account: Account | undefined;
  readonly response: http.ServerResponse;
  readonly receivedAt: Instant;
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly deadline: Deadline;
  /** Answers with a status of the gateway's own. */
  readonly refuse: (answer: OwnAnswer) => void;
}
