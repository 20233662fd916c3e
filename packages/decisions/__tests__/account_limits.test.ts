import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ObjectKind, toId, type AccountObject} from '@zinniaspindle/shared';
import {
  computeFairRates,
  createAccountLimits,
  defaultLimitOptions,
  recordDemand,
  recordPeerDemands,
  setAccounts,
  updateShares,
  type VmDigest,
} from '../src/index.js';

const account: AccountObject = {
  kind: ObjectKind.Account,
  name: toId('a'),
  labels: {},
  tokenDigests: [],
  weight: 1,
  tokensPerSecond: 1000,
  operator: false,
};

function makeDigest(vm: string, tokensPerSecond: number): VmDigest {
  return {
    vm: toId(vm),
    time: 0,
    ready: true,
    leaving: false,
    load: 0,
    nextOffset: 0,
    demands: [{account: account.name, tokensPerSecond}],
    uses: [],
    leavingEndpoints: [],
    failingEndpoints: [],
  };
}

function computeLimitRate(now: number): number {
  const limits = createAccountLimits();
  setAccounts(limits, [account], 0);
  const share = limits.shares.get(account.name)!;
  const {demandDecayMilliseconds} = defaultLimitOptions;
  const tokens = (100 * demandDecayMilliseconds) / 1000;
  recordPeerDemands(limits, makeDigest('p', 300), 0);
  recordDemand(share, tokens, now, defaultLimitOptions);
  updateShares(limits, 1e6, 0, now, defaultLimitOptions);
  return share.limitRate;
}

test('an account limit is split over VMs in proportion to demand', () => {
  assert.equal(computeLimitRate(0), 250);
});

test('the demand of a silent peer decays to an even split', () => {
  const rate = computeLimitRate(60_000);
  assert.ok(Math.abs(rate - 500) < 1);
});

test('fair rates are weighted max-min fair', () => {
  const rates = computeFairRates(
    [
      {account: toId('small'), weight: 1, demand: 10},
      {account: toId('large'), weight: 1, demand: 500},
      {account: toId('heavy'), weight: 3, demand: 500},
    ],
    210,
  );
  assert.deepEqual([...rates.values()], [10, 150, 50]);
});
