/** Why the gateway itself answers a request; sent as the error text. */
export enum FailureReason {
  NoConfiguration = 'no configuration is known yet',
  NoRoute = 'no route has this host and path',
  BadKey = 'the key is not known',
  BodyTooLarge = 'the body is larger than allowed',
  BodiesTooMany = 'the bodies of all requests take the memory meant for them',
  RequestsTooMany = 'the open requests take the memory meant for them',
  SocketsTooMany = 'the open requests take the connections meant for them',
  UnknownExpectation = 'the expectation is not known',
  BadHeaders = 'a name or value of a header is malformed',
  HeadersTooLarge = 'the headers are larger than allowed',
  BodyTimeout = 'the body did not come in time',
  NoEndpoint = 'no endpoint can take the request now',
  EndpointsPausing = 'all endpoints ask for a pause',
  EndpointsLimited = 'all endpoints have the requests that they take',
  Quarantined = 'endpoints ended under this request or parts of its prompt',
  LastEndpoint = 'endpoints ended under this request, and one is left',
  EndpointsBusy = 'all endpoints are busy',
  BehindAnswer = 'an earlier answer on the connection was not complete in time',
  Stopping = 'this VM is stopping and could not finish the request',
  Deadline = 'the deadline passed',
  OutcomeUnknown = 'the endpoint broke off and may have run the request',
}

/** An answer produced by the gateway rather than by an endpoint. */
export interface LocalAnswer {
  readonly status: number;
  readonly reason: FailureReason;
  /** The parts of the prompt for which it is refused. */
  readonly parts?: string;
  /** When the caller should retry; undefined where a retry would not help. */
  readonly retryAfterMilliseconds?: number;
}
