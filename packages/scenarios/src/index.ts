/** The scenario language, its runner and the load tool. */
export * from './virtual/actions_host.js';
export * from './virtual/actions_ledger.js';
export * from './virtual/actions_run.js';
export * from './virtual/actions_schedule.js';
export * from './virtual/fake_endpoint.js';
export * from './virtual/fake_journal.js';
export * from './virtual/fake_service.js';
export * from './virtual/orders_host.js';
export * from './virtual/orders_run.js';
export * from './virtual/orders_schedule.js';
export * from './virtual/seeded_random.js';
export * from './virtual/virtual_clock.js';
export * from './virtual/virtual_vm.js';
