import {
  findAccount,
  findPipeline,
  findService,
  isSelected,
  listObjects,
} from '@zinniaspindle/decisions';
import {ObjectKind} from '@zinniaspindle/shared';
import type {
  AccountObject,
  EndpointObject,
  PipelineName,
  PipelineObject,
  ServiceName,
  ServiceObject,
} from '@zinniaspindle/shared';
import type {ConfigurationHost} from './configuration_host.js';

/** Questions of callers and operators to the configuration in force. */
export class ConfigurationQueries {
  constructor(private readonly configuration: ConfigurationHost) {}

  /** Finds the account of a token digest. */
  readonly findAccount = (digest: string): AccountObject | undefined =>
    findAccount(this.configuration.state, digest);

  /** Finds a pipeline that an account may use. */
  readonly findPipeline = (
    name: PipelineName,
    account: AccountObject,
  ): PipelineObject | undefined => {
    const {state} = this.configuration;
    const pipeline = findPipeline(state, name);
    if (pipeline === undefined) return undefined;
    const {accountSelector} = pipeline;
    const isAllowed = isSelected(state, accountSelector, account.labels);
    return isAllowed ? pipeline : undefined;
  };

  /** Finds a service that an account may use. */
  readonly findService = (
    name: ServiceName,
    account: AccountObject,
  ): ServiceObject | undefined => {
    const {state} = this.configuration;
    const service = findService(state, name);
    if (service === undefined) return undefined;
    const {accountSelector} = service;
    const isAllowed = isSelected(state, accountSelector, account.labels);
    return isAllowed ? service : undefined;
  };

  /** Lists the configured endpoints. */
  listEndpoints(): EndpointObject[] {
    const {state} = this.configuration;
    return listObjects(state, ObjectKind.Endpoint).map(
      ({object}) => object as EndpointObject,
    );
  }
}
