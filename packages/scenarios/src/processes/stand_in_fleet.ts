import type {ChildProcess} from 'node:child_process';
import {toId} from '@zinniaspindle/shared';
import {
  type Fleet,
  type FleetMember,
  type StandIn,
  StandInKind,
  startFleet,
  startStandIn,
  startStandInProcess,
  type WorkRecord,
} from '@zinniaspindle/stand-ins';
import type {FleetStep} from '../language/steps.js';
import {makeUnknownError} from './errors.js';

/** Takes work as a stand-in tells of it, with the stand-in's name. */
export type RecordWork = (source: string, work: WorkRecord) => void;

/** The stand-ins of one run; those that are to be killed are processes. */
export class StandInFleet {
  private constructor(
    readonly fleet: Fleet,
    private readonly children: ReadonlyMap<string, ChildProcess>,
  ) {}

  /** Starts the stand-ins; the named ones as processes of their own. */
  static async start(
    step: FleetStep,
    separate: ReadonlySet<string>,
    recordWork: RecordWork,
  ): Promise<StandInFleet> {
    const children = new Map<string, ChildProcess>();
    const fleet = await startFleet({
      shape: {
        model: toId('demo'),
        layerCount: step.layers,
        ranges: step.ranges,
        replicas: step.replicas,
        dataCentres: step.dataCentres,
      },
      callers: step.callers,
      services: step.services,
      setups: makeSetups(step),
      start: async (kind, setup, name): Promise<StandIn> => {
        const record = (work: WorkRecord) => recordWork(name, work);
        if (!separate.has(name)) {
          return startStandIn(kind, setup, {recordWork: record});
        }
        const started = await startStandInProcess(kind, setup, record);
        children.set(name, started.child);
        return started;
      },
    });
    return new StandInFleet(fleet, children);
  }

  /** Finds the address of a stand-in by its name. */
  getAddress(name: string): string {
    return this.getMember(name).standIn.address;
  }

  /** Finds the process of a stand-in by its name. */
  getChild(name: string): ChildProcess {
    const child = this.children.get(name);
    if (child === undefined) throw makeUnknownError('process', name);
    return child;
  }

  /** Tells whether a stand-in was killed. */
  isKilled(name: string): boolean {
    const child = this.children.get(name);
    return child !== undefined && child.signalCode !== null;
  }

  getToken(account: string): string {
    for (const {token, object} of this.fleet.accounts) {
      if (object.name === account) return token;
    }
    throw makeUnknownError('client account', account);
  }

  private getMember(name: string): FleetMember {
    const member = this.fleet.members.find(one => one.name === name);
    if (member === undefined) throw makeUnknownError('stand-in', name);
    return member;
  }
}

function makeSetups(step: FleetStep) {
  const {retentionMilliseconds, appendsPerSecond, lookup} = step;
  return {
    [StandInKind.Log]: {retentionMilliseconds, appendsPerSecond},
    [StandInKind.VmList]: {lagMilliseconds: step.vmListLagMilliseconds},
    [StandInKind.Service]: {hasLookup: lookup},
  };
}
