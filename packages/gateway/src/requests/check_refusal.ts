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
  const first = parts[0]!.endpoint;
  if (answer.endpointId !== undefined && answer.endpointId !== first.id) {
    server.endpoints.removeReplaced(first.id);
    return `the address belongs to ${answer.endpointId}`;
  }
  const address = answer.failedAddress ?? first.address;
  const failedEndpoint = server.endpoints.findByAddress(address);
  const reason = `status ${answer.status} at ${address}`;
  // An endpoint that asks for a pause has said why it refuses.
  const isExplained =
    failedEndpoint === undefined ||
    server.endpoints.findPauseEnd(failedEndpoint) !== undefined;
  if (isExplained) return reason;
  const {id} = failedEndpoint.entry;
  const part = parts.find(({endpoint}) => endpoint.id === id);
  void server.prober.checkRefusal(id, reason, part?.layers);
  return reason;
}
