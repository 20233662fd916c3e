const minCapacityBytes = 1024;
/** Spare room, so that bytes are not copied again for each chunk. */
const growthFactor = 1.5;
/** A chunk may keep this many times its own bytes in memory. */
const maxRetention = 2;

/**
 * Bytes of an item whose end has not come. Small parts of large buffers are
 * copied, so that they do not keep those in memory.
 */
export class PendingBytes {
  private buffer: Buffer = Buffer.alloc(0);
  private isOwn = false;
  private count = 0;

  /** The number of bytes. */
  get length(): number {
    return this.count;
  }

  /** Adds a chunk; one that is alone and compact is not copied. */
  append(chunk: Buffer): void {
    if (this.count === 0 && isCompact(chunk)) {
      this.buffer = chunk;
      this.isOwn = false;
      this.count = chunk.length;
      return;
    }
    const needed = this.count + chunk.length;
    if (!this.isOwn || needed > this.buffer.length) this.reserve(needed);
    chunk.copy(this.buffer, this.count);
    this.count = needed;
  }

  /** Returns the bytes; further bytes do not change them. */
  toBuffer(): Buffer {
    return this.buffer.subarray(0, this.count);
  }

  /** Removes and returns the bytes. */
  take(): Buffer {
    const bytes = this.toBuffer();
    this.drop();
    return bytes;
  }

  /** Drops the bytes. */
  drop(): void {
    if (this.count === 0) return;
    this.buffer = Buffer.alloc(0);
    this.isOwn = false;
    this.count = 0;
  }

  private reserve(needed: number): void {
    const wanted = Math.ceil(this.count * growthFactor);
    const capacity = Math.max(minCapacityBytes, needed, wanted);
    const buffer = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(buffer, 0, 0, this.count);
    this.buffer = buffer;
    this.isOwn = true;
  }
}

function isCompact(chunk: Buffer): boolean {
  return chunk.buffer.byteLength <= maxRetention * chunk.length;
}
