import type {Instant} from '@zinniaspindle/shared';
import type {PathReservation} from '../fleet/path_table.js';
import type {RequestContext} from './request_context.js';

/** The endpoint that an attempt was sent to. */
interface AttemptTarget {
  readonly id: string;
  /** Start of its incarnation; undefined if the endpoint is not known. */
  readonly bornAt: Instant | undefined;
  readonly sentAt: Instant;
  /** Whether an earlier attempt of the request may have run. */
  readonly isRepeat: boolean;
}

/** Follows the attempts of one stream for attempts that break. */
export class AttemptWatch {
  private target: AttemptTarget | undefined;

  constructor(private readonly context: RequestContext) {}

  /** Records that an attempt is sent to an endpoint. */
  recordStart(id: string, isRepeat: boolean): void {
    const {endpoints, getNow} = this.context.server;
    const bornAt = endpoints.find(id)?.bornAt;
    this.target = {id, bornAt, sentAt: getNow(), isRepeat};
  }

  /** Checks the endpoints of a path on which the attempt has broken. */
  handleBreak({path, hasStarted}: PathReservation): void {
    const {server, request, service} = this.context;
    const {prober, paths, ends, getNow} = server;
    void prober.probePath(path, () => paths.dropStreams(path));
    const {target} = this;
    if (hasStarted || target?.bornAt === undefined) return;
    const {id, bornAt, sentAt, isRepeat} = target;
    const {attemptId, promptParts: parts} = request;
    const attempt = {request: attemptId, parts, sentAt, isRepeat};
    ends.recordBreak({id, bornAt}, service.name, attempt);
    // An answer from before the break does not show that the endpoint lives.
    void prober.probe(id, getNow());
  }
}
