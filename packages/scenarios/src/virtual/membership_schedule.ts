import {LeavingSource} from '@zinniaspindle/decisions';
import type {EndpointId, Instant, VmId} from '@zinniaspindle/shared';
import {millisecondsPerSecond, toId} from '@zinniaspindle/shared';
import type {MembershipBounds} from './membership_checks.js';
import {MembershipChecks} from './membership_checks.js';
import type {FleetOptions} from './membership_host.js';
import {getVmName, MembershipFleet} from './membership_host.js';

const warmUpMilliseconds = 12_000;
const settleMilliseconds = 20_000;
const viewCheckMilliseconds = 500;
const askMilliseconds = 250;
const noticePeriodMilliseconds = 1500;
const leastRunning = 3;
const stopDeadlineMilliseconds = 60_000;
const slowPauseMilliseconds = 700;
const slowPeriodMilliseconds = 900;
const burstLossShare = 0.2;

/** The faults of a schedule. */
export enum MembershipFaultKind {
  /** All links of a VM are cut for a while. */
  CutVm = 'cutVm',
  /** One link is cut for a while. */
  CutLink = 'cutLink',
  Kill = 'kill',
  /** The VM list cannot be read for a while. */
  ListDown = 'listDown',
  /** More messages are lost for a while. */
  Loss = 'loss',
  Pause = 'pause',
  /** Killed, then started again with the same id. */
  Replace = 'replace',
  /** Paused again and again for a while. */
  Slow = 'slow',
  /** A planned stop. */
  Stop = 'stop',
}

/** One fault of a schedule. */
export interface MembershipFault {
  readonly kind: MembershipFaultKind;
  /** Seconds after the warm-up. */
  readonly atSeconds: number;
  /** Number of the VM. */
  readonly vm: number;
  /** Number of the other VM of a link. */
  readonly other: number;
  readonly lengthSeconds: number;
}

/** Runs a fleet through faults and returns what did not hold. */
export function runSchedule(
  options: FleetOptions,
  faults: readonly MembershipFault[],
  bounds?: MembershipBounds,
): readonly string[] {
  const fleet = new MembershipFleet(options);
  const checks = new MembershipChecks(fleet, bounds);
  const start = fleet.clock.now + warmUpMilliseconds;
  let end = start;
  for (const fault of faults) {
    const at = start + fault.atSeconds * millisecondsPerSecond;
    const until = at + fault.lengthSeconds * millisecondsPerSecond;
    fleet.clock.runAt(at, () => injectFault(fleet, fault, until));
    end = Math.max(end, until);
  }
  end += settleMilliseconds;
  runEvery(fleet, viewCheckMilliseconds, () => checks.checkViews());
  runEvery(fleet, noticePeriodMilliseconds, () => sendNotice(fleet, checks));
  runEvery(fleet, askMilliseconds, () => fetchSomewhere(fleet));
  fleet.clock.runUntil(end);
  checks.checkAnswers();
  return checks.violations;
}

function runEvery(
  fleet: MembershipFleet,
  milliseconds: number,
  run: () => void,
): void {
  const runOnce = () => {
    run();
    fleet.clock.runAfter(milliseconds, runOnce);
  };
  fleet.clock.runAfter(milliseconds, runOnce);
}

function fetchSomewhere(fleet: MembershipFleet): void {
  const running = fleet.listRunning();
  const vm = running[Math.floor(fleet.random() * running.length)];
  if (vm !== undefined) fleet.fetchEntries(vm.identity.vm);
}

/** Tells a random VM that an endpoint leaves; all know within the bound. */
function sendNotice(fleet: MembershipFleet, checks: MembershipChecks): void {
  const running = fleet.listRunning();
  const teller = running[Math.floor(fleet.random() * running.length)];
  if (teller === undefined) return;
  const endpoint = toId<EndpointId>(`e${fleet.clock.now}`);
  const {vm} = teller.identity;
  fleet.setEndpointLeaving(vm, endpoint, LeavingSource.Engine, true);
  fleet.clock.runAfter(checks.bounds.noticeMilliseconds, () =>
    checks.checkEndpoint(endpoint, teller),
  );
}

function injectFault(
  fleet: MembershipFleet,
  fault: MembershipFault,
  until: Instant,
): void {
  const vm = getVmName(fault.vm % fleet.options.vms);
  const other = getVmName(fault.other % fleet.options.vms);
  switch (fault.kind) {
    case MembershipFaultKind.CutVm:
      fleet.setVmLinks(vm, false);
      fleet.clock.runAt(until, () => fleet.setVmLinks(vm, true));
      return;
    case MembershipFaultKind.CutLink:
      if (vm === other) return;
      fleet.setLink(vm, other, false);
      fleet.clock.runAt(until, () => fleet.setLink(vm, other, true));
      return;
    case MembershipFaultKind.Kill:
      if (canLose(fleet)) fleet.stopVmAtOnce(vm);
      return;
    case MembershipFaultKind.ListDown:
      fleet.list.down = true;
      fleet.clock.runAt(until, () => {
        fleet.list.down = false;
      });
      return;
    case MembershipFaultKind.Loss:
      fleet.network.options.lossShare = burstLossShare;
      fleet.clock.runAt(until, () => {
        fleet.network.options.lossShare = fleet.options.lossShare;
      });
      return;
    case MembershipFaultKind.Pause:
      fleet.stopVmUntil(vm, until);
      return;
    case MembershipFaultKind.Replace:
      if (!canLose(fleet)) return;
      fleet.stopVmAtOnce(vm);
      fleet.clock.runAt(until, () => startAgain(fleet, vm));
      return;
    case MembershipFaultKind.Slow:
      injectSlowness(fleet, vm, until);
      return;
    case MembershipFaultKind.Stop:
      if (!canLose(fleet) || fleet.isStopping(vm)) return;
      fleet.stopVm(vm, fleet.clock.now + stopDeadlineMilliseconds, 0);
  }
}

function injectSlowness(
  fleet: MembershipFleet,
  vm: VmId,
  until: Instant,
): void {
  const {now} = fleet.clock;
  if (now >= until) return;
  fleet.stopVmUntil(vm, now + slowPauseMilliseconds);
  const next = now + slowPeriodMilliseconds;
  fleet.clock.runAt(next, () => injectSlowness(fleet, vm, until));
}

function startAgain(fleet: MembershipFleet, vm: VmId): void {
  if (fleet.vms.get(vm)?.running !== true) fleet.startVm(vm);
}

function canLose(fleet: MembershipFleet): boolean {
  let running = 0;
  for (const vm of fleet.vms.values()) {
    if (vm.running) running += 1;
  }
  return running > leastRunning;
}
