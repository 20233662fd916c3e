/** The router process: an entry VM as a supervisor tree. */
export {runEntryVm} from './root/run_entry_vm.js';
export {
  formatFault,
  readSettings,
  SettingsError,
  type Settings,
  type SettingsFault,
} from './settings/read_settings.js';
export {settingSections} from './settings/sections.js';
export type {SettingField} from './settings/field.js';
export {
  Metric,
  MetricKind,
  metricTexts,
  type MetricText,
} from './metrics/metrics.js';
