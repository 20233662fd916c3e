import type http from 'node:http';
import type {StopPlan} from '@zinniaspindle/decisions';
import type {Deadline, GatewayEvent, Instant} from '@zinniaspindle/shared';
import type {EndpointTable} from '../fleet/endpoint_table.js';
import type {EndCheck} from '../fleet/end_check.js';
import type {EndWatch} from '../fleet/end_watch.js';
import type {PathTable} from '../fleet/path_table.js';
import type {WaiterTable} from '../fleet/waiter_table.js';
import type {PromptTable} from '../fleet/prompt_table.js';
import type {SourceCheck} from '../fleet/source_check.js';
import type {EndpointProber} from '../fleet/endpoint_prober.js';
import type {EndpointLinks} from '../links/endpoint_links.js';
import type {KeptConnections} from '../links/kept_connections.js';
import type {PausedEndpoint} from '../peers/messages.js';
import type {PartQuarantine} from '../quarantine/part_quarantine.js';
import type {Intake} from '../intake/intake.js';
import type {EventFields} from '../log/event_log.js';
import type {Metrics} from '../log/metrics.js';
import type {
  Account,
  CallerRequest,
  ExchangeCodec,
  Route,
  Service,
} from '../ports/index.js';
import type {LocalAnswer} from './failure.js';
import type {OpenRequest} from './open_requests.js';
import type {PathQueue} from './path_queue.js';
import type {RetryBudgets} from './retry_budgets.js';
import type {AnswersByRoute} from './answers_by_route.js';

/** Dependencies that all request handlers share. */
export interface ServerContext {
  readonly codec: ExchangeCodec;
  readonly endpoints: EndpointTable;
  readonly ends: EndWatch;
  readonly endCheck: EndCheck;
  readonly sourceCheck: SourceCheck;
  /** Time for which an endpoint waits for another one of its path that is gone. */
  readonly stallMilliseconds: number;
  readonly quarantine: PartQuarantine;
  readonly paths: PathTable;
  readonly prompts: PromptTable;
  readonly queue: PathQueue;
  readonly waiters: WaiterTable;
  readonly prober: EndpointProber;
  readonly links: EndpointLinks;
  /** Keeps connections to endpoints; undefined if each request opens one. */
  readonly kept: KeptConnections | undefined;
  /** Tells a peer that an endpoint asked for a pause on a connection through it. */
  readonly sendPause: (vm: string, paused: PausedEndpoint) => void;
  readonly budgets: RetryBudgets;
  readonly metrics: Metrics;
  readonly answersByRoute: AnswersByRoute;
  /** The bytes from outside that this VM holds. */
  readonly intake: Intake;
  readonly writeEvent: (event: GatewayEvent, fields: EventFields) => void;
  readonly getNow: () => Instant;
  /** The graceful stop of this VM that is under way, if any. */
  readonly findStopPlan: () => StopPlan | undefined;
  /** Share of the other VMs that take no requests, from 0 to 1. */
  readonly computeRefusingShare: () => number;
}

/** A request that was read completely and passed all checks. */
export interface RequestContext {
  readonly server: ServerContext;
  readonly request: CallerRequest;
  /** Its digests and the parts of its prompt; see `listTraits`. */
  readonly traits: readonly string[];
  readonly method: string;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: Service;
  readonly account: Account | undefined;
  readonly response: http.ServerResponse;
  readonly open: OpenRequest;
  /** Ends the connection with the answer, unless a later request is open on it. */
  readonly closeAfter: () => boolean;
  readonly receivedAt: Instant;
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly deadline: Deadline;
  /** Answers the caller with an answer of the gateway itself. */
  readonly refuse: (answer: LocalAnswer) => void;
}
