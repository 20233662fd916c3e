import {formatAddress} from '@zinniaspindle/shared';
import type {Hello} from '../peers/messages.js';
import type {GatewaySettings} from '../ports/index.js';

/** Describes this VM for its peers. */
export function describeOwn({
  vm,
  linkMegabits,
  cores,
  listen: {peers, callers},
}: GatewaySettings): Omit<Hello, 'kind' | 'known' | 'isUnheard'> {
  return {
    vm,
    startedAt: Date.now(),
    peerAddress: formatAddress(peers),
    callerAddress: formatAddress(callers),
    linkMegabits,
    cores,
  };
}
