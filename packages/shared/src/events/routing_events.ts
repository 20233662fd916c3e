/** Events of routing, admission, retries and recovery; numbers 4000 to 4999. */
export enum RoutingEvent {
  ChainChosen = 4001,
  AttemptFailed = 4003,
  RequestFinished = 4004,
  StaleAnswerDropped = 4005,
  AttemptStays = 4006,
  WorkAdmitted = 4101,
  WorkRefused = 4102,
  WorkCancelled = 4103,
  ChainReplaced = 4104,
  WorkResumed = 4105,
}

/** The text of each event; {name} stands for the value of a field. */
export const routingEventTexts: Readonly<Record<RoutingEvent, string>> = {
  [RoutingEvent.ChainChosen]:
    'request {request} attempt {attempt} runs on chain {chain}: {reason}',
  [RoutingEvent.AttemptFailed]:
    'request {request} attempt {attempt} failed at endpoint {endpoint}: {detail}',
  [RoutingEvent.RequestFinished]:
    'request {request} finished with {answer} after {tokens} tokens: {detail}',
  [RoutingEvent.StaleAnswerDropped]:
    'request {request}: answer of attempt {attempt} ignored, the current attempt is {current}',
  [RoutingEvent.AttemptStays]:
    'request {request} attempt {attempt} goes on, though endpoint {endpoint} is silent: {detail}',
  [RoutingEvent.WorkAdmitted]:
    'request {request} of client account {account} admitted on chain {chain}: token gap {gap} ms, wait {waitMilliseconds} ms, {cachedTokens} tokens cached, cost {cost}, {weighed} endpoints considered',
  [RoutingEvent.WorkRefused]:
    'request {request} of client account {account} refused, retry at {retryAt}: {reason}',
  [RoutingEvent.WorkCancelled]: 'request {request} cancelled: {reason}',
  [RoutingEvent.ChainReplaced]:
    'request {request} continues on chain {chain}, {kept} stages kept',
  [RoutingEvent.WorkResumed]:
    'request {request} of client account {account} resumed on this VM',
};
