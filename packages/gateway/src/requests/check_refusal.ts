import type {StagePath} from '@zinniaspindle/decisions';
import type {EndpointAnswer} from '../ports/index.js';
import type {ServerContext} from './request_context.js';

/**
 * Checks the endpoint that refused a request sent on a path; returns the reason
 * for the log.
 */
export function checkRefusal(
  server: ServerContext,
  {parts}: StagePath,
  answer: EndpointAnswer,
): string {
  const address = answer.failedAddress ?? parts[0]!.endpoint.address;
  // Another endpoint that is listed with the address has not refused anything.
  const part = parts.find(({endpoint}) => endpoint.address === address);
  const failedEndpoint = part && server.endpoints.find(part.endpoint.id);
  const reason = `status ${answer.status} at ${address}`;
  // An endpoint that asks for a pause has said why it refuses.
  const isExplained =
    failedEndpoint === undefined ||
    server.endpoints.findPauseEnd(failedEndpoint) !== undefined;
  if (isExplained) return reason;
  const {id} = failedEndpoint.entry;
  void server.prober.checkRefusal(id, reason, part?.layers);
  return reason;
}
