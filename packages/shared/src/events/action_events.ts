/** Events of protected actions; numbers 5000 to 5999. */
export enum ActionEvent {
  ClaimWon = 5001,
  ClaimLost = 5002,
  ClaimSubmitted = 5003,
  ClaimAbandoned = 5004,
  CallSent = 5005,
  CallAnswered = 5006,
  CallOutcomeUnknown = 5007,
  ActionJoined = 5008,
  ActionAnswered = 5009,
}

/** The text of each event; {name} stands for the value of a field. */
export const actionEventTexts: Readonly<Record<ActionEvent, string>> = {
  [ActionEvent.ClaimWon]:
    'action {key}: the claim of this VM at offset {offset} is the first one',
  [ActionEvent.ClaimLost]:
    'action {key}: claim lost to an earlier claim at offset {offset}',
  [ActionEvent.ClaimSubmitted]:
    'action {key}: claim submitted to the log, attempt {attempt}',
  [ActionEvent.ClaimAbandoned]:
    'action {key}: claim at offset {offset} abandoned without calling the service',
  [ActionEvent.CallSent]:
    'action {key}: calling service {service}, attempt {attempt}',
  [ActionEvent.CallAnswered]: 'action {key}: service {service} answered',
  [ActionEvent.CallOutcomeUnknown]:
    'action {key}: outcome of the call to service {service} is unknown',
  [ActionEvent.ActionJoined]:
    'action {key}: waiting for the claim of writer {writer} at offset {offset}',
  [ActionEvent.ActionAnswered]:
    'action {key}: caller answered with {answer}: {reason}',
};
