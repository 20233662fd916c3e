/** The operators of a virtual fleet: who publish, race, repeat and ask again. */
import {
  PublishAnswer,
  RecordKind,
  type ObjectChange,
  type PublishRecord,
  type PublishReport,
} from '@zinniaspindle/decisions';
import {
  formatObjectKey,
  ObjectKind,
  toId,
  type AccountId,
  type PublishId,
  type Random,
} from '@zinniaspindle/shared';
import type {FleetLedger} from './config_fleet_ledger.js';
import {makeAccountChange} from './config_fleet_objects.js';
import type {PlannedPublish} from './config_fleet_plan.js';
import type {FleetVm} from './config_fleet_vm.js';
import type {VirtualClock} from './virtual_clock.js';

const publishMilliseconds = 7000;
const repeatMilliseconds = 3000;
const impatienceMilliseconds = 2;
const objectNames = 6;

/** The account that publishes everything. */
export const rootAccount = toId<AccountId>('root');

/** Publishes at virtual VMs and takes their answers. */
export class FleetOperators {
  private readonly records = new Map<PublishId, PublishRecord>();
  private nextPublish = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
    private readonly ledger: FleetLedger,
    private readonly pickVm: (pick: number) => FleetVm | undefined,
  ) {}

  /** Publishes the first account until it is in force. */
  publishRoot(): void {
    const vm = this.pickVm(0);
    if (vm === undefined) return;
    if (vm.configuration.objects.size > 0) return;
    this.publishChange(vm, makeAccountChange('root', -1, 0, true));
    this.clock.runAfter(repeatMilliseconds, () => this.publishRoot());
  }

  /** Publishes as planned. */
  publishPlanned(planned: PlannedPublish): void {
    this.publishAt(planned, planned.vm);
    if (planned.races) this.publishAt(planned, planned.vm + 1);
  }

  /** An impatient operator asks a second VM with the same id. */
  private publishAgain(record: PublishRecord, pick: number): void {
    this.clock.runAfter(impatienceMilliseconds, () => {
      const vm = this.pickVm(pick);
      if (vm?.isReady === true) this.sendPublish(vm, record);
    });
  }

  /** An operator reads an object at a VM and changes what it read. */
  private publishAt(planned: PlannedPublish, pick: number): void {
    const vm = this.pickVm(pick);
    if (vm === undefined || vm.isPaused || !vm.isReady) return;
    const name = `a${planned.object % objectNames}`;
    const key = {kind: ObjectKind.Account, name};
    const known = vm.configuration.objects.get(formatObjectKey(key));
    const base = known?.revision ?? -1;
    const change =
      planned.deletes && known !== undefined
        ? {key, base}
        : makeAccountChange(name, base, this.nextPublish, false);
    const record = this.publishChange(vm, change);
    if (planned.repeats) this.publishAgain(record, pick + 1);
  }

  private publishChange(vm: FleetVm, change: ObjectChange): PublishRecord {
    const publish = toId<PublishId>(`p${this.nextPublish}`);
    this.nextPublish += 1;
    const kind = RecordKind.Publish;
    const record = {
      kind,
      publish,
      operator: rootAccount,
      changes: [change],
    } as const;
    this.records.set(publish, record);
    this.sendPublish(vm, record);
    return record;
  }

  private sendPublish(vm: FleetVm, record: PublishRecord): void {
    this.ledger.recordAsk(record.publish);
    const giveUpAt = this.clock.now + publishMilliseconds;
    vm.run(() => vm.handlePublish(record, giveUpAt));
  }

  /** An operator that hears unknown asks another VM with the same id. */
  acceptAnswer(report: PublishReport): void {
    this.ledger.recordAnswer(report, this.clock.now);
    if (report.answer !== PublishAnswer.Unknown) return;
    if (this.random() < 0.5) return;
    this.clock.runAfter(repeatMilliseconds, () => {
      const vm = this.pickVm(Math.floor(this.random() * 1000));
      const record = this.records.get(report.publish);
      if (vm === undefined || record === undefined || !vm.isReady) return;
      this.sendPublish(vm, record);
    });
  }
}
