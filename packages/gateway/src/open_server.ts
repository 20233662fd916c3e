import type net from 'node:net';
import type {Address} from '@zinniaspindle/shared';

/** Starts listening; rejects when the address cannot be bound. */
export function openServer(
  server: net.Server,
  {host, port}: Address,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
