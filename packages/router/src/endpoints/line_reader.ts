/** Splits a byte stream into lines of text. */
export class LineReader {
  private rest = '';
  private readonly decoder = new TextDecoder();

  constructor(
    private readonly maxLineLength: number,
    private readonly handleLine: (line: string) => void,
  ) {}

  /** Takes a chunk; returns false when a line is longer than allowed. */
  accept(chunk: Uint8Array): boolean {
    const text = this.rest + this.decoder.decode(chunk, {stream: true});
    let start = 0;
    for (;;) {
      const end = text.indexOf('\n', start);
      if (end < 0) break;
      if (end > start) this.handleLine(text.slice(start, end));
      start = end + 1;
    }
    this.rest = text.slice(start);
    return this.rest.length <= this.maxLineLength;
  }
}
