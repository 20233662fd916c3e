const bytesPerMegabyte = 1024 * 1024;

/** Parts of a VM's memory that what clients send or leave unread may take. */
const requestShare = 1 / 6;
const aheadShare = 1 / 16;
const unreadShare = 1 / 16;
/** Part of the heap of the process that open requests may take. */
const requestHeapShare = 3 / 8;

/** The memory for what clients send or leave unread, in bytes. */
export interface ClientMemory {
  /** Open requests, in the heap of the process. */
  readonly requestBytes: number;
  /** What was sent ahead, and heads whose end has not come. */
  readonly aheadBytes: number;
  /** Answers that clients of one listener have not taken. */
  readonly unreadBytes: number;
}

/** Derives it from the memory of the VM and the heap of its process, in MB. */
export function deriveClientMemory(
  memoryMegabytes: number,
  heapMegabytes = memoryMegabytes,
): ClientMemory {
  const memoryBytes = memoryMegabytes * bytesPerMegabyte;
  const heapBytes = heapMegabytes * bytesPerMegabyte;
  return {
    requestBytes: Math.floor(
      Math.min(memoryBytes * requestShare, heapBytes * requestHeapShare),
    ),
    aheadBytes: Math.floor(memoryBytes * aheadShare),
    unreadBytes: Math.floor(memoryBytes * unreadShare),
  };
}
