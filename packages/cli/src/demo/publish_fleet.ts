import {createHash} from 'node:crypto';
import type {Fleet} from '@zinniaspindle/stand-ins';
import {operatorName} from '@zinniaspindle/stand-ins';
import {fetchJson} from '../entry_client.js';

/** Finds the bearer token of an account of the fleet. */
export function findToken(fleet: Fleet, account: string): string {
  for (const {token, object} of fleet.accounts) {
    if (object.name === account) return token;
  }
  throw new Error(`the fleet has no client account "${account}"`);
}

/** Computes the digest that lets the operator make the first publish. */
export function hashOperatorToken(fleet: Fleet): string {
  const token = findToken(fleet, operatorName);
  return createHash('sha256').update(token).digest('hex');
}

/** Publishes every object of the fleet through one entry VM. */
export async function publishFleet(fleet: Fleet, entry: string): Promise<void> {
  const changes = fleet.objects.map(object => ({
    key: {kind: object.kind, name: object.name},
    base: -1,
    object,
  }));
  const token = findToken(fleet, operatorName);
  const body = {changes};
  await fetchJson(
    {entry, token},
    {method: 'POST', path: '/v1/publishes', body},
  );
}
