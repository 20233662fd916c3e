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
  const reason = `status ${answer.status} at ${address}`;
  if (part === undefined) return reason;
  const {id} = part.endpoint;
  const refusing = server.endpoints.find(id);
  // An endpoint that asks for a pause has said why it refuses.
  const isExplained =
    refusing === undefined ||
    server.endpoints.findPauseEnd(refusing) !== undefined;
  if (isExplained) return reason;
  void server.prober.checkRefusal(id, reason, part.layers);
  return reason;
}
