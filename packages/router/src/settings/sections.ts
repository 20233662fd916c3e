import {Objective} from '@zinniaspindle/decisions';
import {
  makeAddressField,
  makeChoiceField,
  makeDigestField,
  makeIntegerField,
  makeNameField,
} from './field.js';

/** How log lines are written. */
export enum LogFormat {
  Json = 'json',
  Text = 'text',
}

/** Which log lines are written. */
export enum LogLevel {
  Debug = 'debug',
  Error = 'error',
  Info = 'info',
  Warn = 'warn',
}

const minute = 60_000;
const hour = 60 * minute;
const kibibyte = 1024;
const mebibyte = kibibyte * kibibyte;

/** Who and where this VM is. */
const vm = {
  id: makeNameField({description: 'Name of this VM, unique in the fleet.'}),
  dataCentre: makeNameField({description: 'Data centre of this VM.'}),
};

/** The interface for callers and operators. */
const callers = {
  listen: makeAddressField({description: 'Address to listen on.'}),
  maxBodyBytes: makeIntegerField(kibibyte, 64 * mebibyte, 'bytes', {
    description: 'Largest body of a request.',
    fallback: String(mebibyte),
  }),
  maxHeaderBytes: makeIntegerField(kibibyte, mebibyte, 'bytes', {
    description: 'Largest headers of a request.',
    fallback: String(16 * kibibyte),
  }),
  requestMilliseconds: makeIntegerField(100, hour, 'ms', {
    description: 'Time within which a whole request must have arrived.',
    fallback: '10000',
  }),
  defaultDeadlineMilliseconds: makeIntegerField(10, hour, 'ms', {
    description: 'Deadline of a request that names none.',
    fallback: '30000',
  }),
  maxDeadlineMilliseconds: makeIntegerField(10, hour, 'ms', {
    description: 'Latest deadline that a request may name.',
    fallback: String(10 * minute),
  }),
  reconnectMilliseconds: makeIntegerField(0, minute, 'ms', {
    description: 'Time that a streaming caller has to reconnect.',
    fallback: '3000',
  }),
  coalesceMilliseconds: makeIntegerField(0, 100, 'ms', {
    description: 'Time for which tokens are gathered into one write.',
    fallback: '0',
  }),
  entryLifetimeMilliseconds: makeIntegerField(1000, hour, 'ms', {
    description: 'Time for which a caller may use an answer of /v1/entries.',
    fallback: '10000',
  }),
};

/** The connections between entry VMs. */
const peers = {
  listen: makeAddressField({description: 'Address to listen on for peers.'}),
};

/** The platform's services. */
const platform = {
  log: makeAddressField({description: 'Address of the log service.'}),
  vmList: makeAddressField({description: 'Address of the VM list.'}),
  retentionMilliseconds: makeIntegerField(1000, 365 * 24 * hour, 'ms', {
    description: 'Time for which the log keeps a record.',
    fallback: String(7 * 24 * hour),
  }),
};

/** Operators. */
const operators = {
  bootstrapAccount: makeNameField({
    description: 'Account that may make the first publish.',
    fallback: 'operator',
  }),
  bootstrapTokenDigest: makeDigestField({
    description: 'SHA-256 digest of the token of the first publish.',
    fallback: '0'.repeat(64),
  }),
};

/** Routing, admission and retries. */
const policy = {
  objective: makeChoiceField(Object.values(Objective), {
    description: 'What the policy favours.',
    fallback: Objective.RecoveryTime,
  }),
  maxInFlight: makeIntegerField(1, 100_000, 'requests', {
    description: 'Requests that this VM runs at once.',
    fallback: '4000',
  }),
  stopMilliseconds: makeIntegerField(0, hour, 'ms', {
    description: 'Time that a planned stop may take; 2 s at the least.',
    fallback: String(10 * minute),
  }),
};

/** Log lines. */
const logging = {
  level: makeChoiceField(Object.values(LogLevel), {
    description: 'Least severity that is written.',
    fallback: LogLevel.Info,
  }),
  format: makeChoiceField(Object.values(LogFormat), {
    description: 'Form of a log line.',
    fallback: LogFormat.Text,
  }),
};

/** Metrics, sent to a StatsD collector. */
const metrics = {
  host: makeNameField({
    description: 'IP number of the collector; "none" sends nothing.',
    fallback: 'none',
  }),
  port: makeIntegerField(1, 65_535, '', {
    description: 'UDP port of the collector.',
    fallback: '8125',
  }),
};

/** Every section of the settings file. */
export const settingSections = {
  vm,
  callers,
  peers,
  platform,
  operators,
  policy,
  logging,
  metrics,
};
