import type {
  AccountId,
  Instant,
  Random,
  RequestId,
} from '@zinniaspindle/shared';
import {toId} from '@zinniaspindle/shared';
import type {PromptPrefix} from '@zinniaspindle/decisions';
import {buildAccounts, computeAccountShare, type LoadModel} from './fleet.js';

/** One kind of request. */
interface RequestKind {
  /** Share of the requests. */
  readonly share: number;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly leastTokens: number;
  readonly mostTokens: number;
  readonly deadlineMilliseconds: number;
}

const letter: RequestKind = {
  share: 0.35,
  sharedTokens: 600,
  ownTokens: 150,
  leastTokens: 200,
  mostTokens: 400,
  deadlineMilliseconds: 15_000,
};
const lookUp: RequestKind = {
  share: 0.65,
  sharedTokens: 300,
  ownTokens: 60,
  leastTokens: 20,
  mostTokens: 60,
  deadlineMilliseconds: 4000,
};
const templatesPerAccount = 4;

/** A request of the load run. */
export interface LoadRequest {
  readonly id: RequestId;
  readonly account: AccountId;
  readonly model: LoadModel;
  /** When its caller meant to send it. */
  readonly sendAt: Instant;
  readonly promptTokens: number;
  readonly prefixes: readonly PromptPrefix[];
  readonly tokens: number;
  readonly deadline: Instant;
}

/** Mean tokens generated for one request. */
export const meanTokens =
  letter.share * ((letter.leastTokens + letter.mostTokens) / 2) +
  lookUp.share * ((lookUp.leastTokens + lookUp.mostTokens) / 2);

/** Prompt tokens for each token generated when shared prefixes are cached. */
export const prefillTokensPerToken =
  (letter.share * letter.ownTokens + lookUp.share * lookUp.ownTokens) /
  meanTokens;

/** Makes one request of a random kind, account and template. */
export function makeLoadRequest(
  sequence: number,
  model: LoadModel,
  sendAt: Instant,
  random: Random,
): LoadRequest {
  const kind = random() < letter.share ? letter : lookUp;
  const account = pickAccount(random);
  const template = Math.floor(random() * templatesPerAccount);
  const name = kind === letter ? 'letter' : 'lookUp';
  const spread = kind.mostTokens - kind.leastTokens;
  return {
    id: toId(`r${sequence}`),
    account,
    model,
    sendAt,
    promptTokens: kind.sharedTokens + kind.ownTokens,
    prefixes: [
      {hash: `${account}/${name}/${template}`, tokens: kind.sharedTokens},
    ],
    tokens: kind.leastTokens + Math.floor(random() * (spread + 1)),
    deadline: sendAt + kind.deadlineMilliseconds,
  };
}

const accounts = buildAccounts();

function pickAccount(random: Random): AccountId {
  let left = random();
  for (const [index, account] of accounts.entries()) {
    left -= computeAccountShare(index);
    if (left < 0) return account.name;
  }
  return accounts[0]!.name;
}
