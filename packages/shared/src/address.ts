/** The address of a TCP listener. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Parses "host:port" at the last colon; without a colon the host is empty. */
export function parseAddress(address: string): Address {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, Math.max(0, colon)),
    port: Number(address.slice(colon + 1)),
  };
}

/** Formats an address as "host:port". */
export function formatAddress({host, port}: Address): string {
  return `${host}:${port}`;
}
