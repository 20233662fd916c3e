const bytesPerMegabyte = 1024 * 1024;

/** Parts of a VM's memory that what clients send may take. */
const aheadShare = 1 / 16;

/** The memory for what clients send, in bytes. */
export interface ClientMemory {
  /** What was sent ahead, and heads whose end has not come. */
  readonly aheadBytes: number;
}

/** Derives it from the memory of the VM, in MB. */
export function deriveClientMemory(memoryMegabytes: number): ClientMemory {
  const memoryBytes = memoryMegabytes * bytesPerMegabyte;
  return {aheadBytes: Math.floor(memoryBytes * aheadShare)};
}
