/** Where something listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Splits host:port; the host is empty where there is no colon. */
export function parseAddress(address: string): Address {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, Math.max(0, colon)),
    port: Number(address.slice(colon + 1)),
  };
}

/** Joins a host and port as host:port. */
export function formatAddress({host, port}: Address): string {
  return `${host}:${port}`;
}
