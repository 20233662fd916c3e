import type http from 'node:http';
import net from 'node:net';

/** Ends a head, and the last chunk of a body with its trailers. */
const terminator = Buffer.from('\r\n\r\n');
/** Bytes of a terminator that may come at the end of a piece. */
const tailBytes = terminator.length - 1;

/** What the kernel may hold of a connection that is not read, in bytes. */
const kernelBytes = 32 * 1024;
/** What the parser takes for a head whose end has not come, in copies of it. */
const headCopies = 8;
/** A connection that holds fewer bytes has sent nothing beyond them. */
const manyBytes = 4 * 1024;
const carriageReturn = 0x0d;
const lineFeed = 0x0a;

/** Why nothing more of a connection is read. */
export enum ReadFault {
  HeadTooLarge = 'headTooLarge',
  BodyTooLarge = 'bodyTooLarge',
  /** The VM holds as many bytes sent ahead as it may. */
  NoMemory = 'noMemory',
}

/** Bounds what a connection sends. */
export interface ReaderBounds {
  /** The request line and headers, in bytes. */
  readonly maxHeadBytes: number;
  /** What is read of a body after its request was answered, in bytes. */
  readonly maxLeftBytes: number;
}

/** What a reader asks and tells about its connection. */
export interface ReaderListener {
  readonly getBounds: () => ReaderBounds;
  /** Tells whether the next request may be read; else `readOn` is called later. */
  readonly canTake: () => boolean;
  /** Sets the bytes that are held; tells whether there is memory for them. */
  readonly setHeld: (bytes: number) => boolean;
  /** Called once; nothing more is read. */
  readonly handleFault: (fault: ReadFault) => void;
}

/**
 * Reads a connection of an HTTP server request by request: the parser of the library
 * gets no byte of a request before there is room for it. Until then the bytes stay in
 * the buffer of the socket, which stops reading when it is full.
 */
export class ConnectionReader {
  private readonly parse: (chunk: Buffer) => void;
  /** The request whose body has not come to its end. */
  private message: http.IncomingMessage | undefined;
  private response: http.ServerResponse | undefined;
  /** Bytes of the message's body that have not come; undefined if not stated. */
  private bodyLeft: number | undefined;
  /** Bytes of a head whose end has not come. */
  private headBytes = 0;
  /** Bytes of a body that came after its request was answered. */
  private leftBytes = 0;
  /** The last bytes that the parser got. */
  private tail: Buffer = Buffer.alloc(0);
  private isWaiting = false;
  private isPausedByServer = false;
  private isDropping = false;

  /** Takes over the reading of a connection that the server has just accepted. */
  constructor(
    private readonly socket: net.Socket,
    private readonly listener: ReaderListener,
  ) {
    const [parse] = socket.listeners('data');
    this.parse = parse as (chunk: Buffer) => void;
    // The server leaves the reading to listeners that are added here.
    socket.on('data', (chunk: Buffer) => this.accept(chunk));
    socket.off('data', this.parse);
    socket.pause = () => {
      this.isPausedByServer = true;
      return this.stopFlow();
    };
    socket.resume = () => {
      this.isPausedByServer = false;
      return this.resumeFlow();
    };
  }

  /** Records a request that the parser has found. */
  startMessage(
    message: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    this.message = message;
    this.response = response;
    this.leftBytes = 0;
    const length = message.headers['content-length'];
    this.bodyLeft = length === undefined ? undefined : Number(length);
  }

  /** Reads on after a wait. */
  readonly readOn = (): void => {
    this.isWaiting = false;
    this.resumeFlow();
  };

  /** Tells whether bytes wait to be read. */
  isHolding(): boolean {
    return this.isWaiting;
  }

  /** Tells whether the body of a request has not come to its end. */
  isReceiving(): boolean {
    return this.message !== undefined;
  }

  /** Drops what comes from now on. */
  dropRest(): void {
    this.isDropping = true;
    this.isWaiting = false;
    this.headBytes = 0;
    this.listener.setHeld(0);
    this.resumeFlow();
  }

  private accept(chunk: Buffer): void {
    let at = 0;
    while (at < chunk.length) {
      if (this.isDropping || this.socket.destroyed) return;
      if (!this.canParse()) return this.stopAt(chunk, at);
      const end = this.findPieceEnd(chunk, at);
      this.parsePiece(chunk.subarray(at, end));
      at = end;
    }
    this.updateHeld(0);
  }

  private canParse(): boolean {
    if (this.isPausedByServer) return false;
    if (this.headBytes > 0 || this.isReceiving()) return true;
    this.isWaiting = !this.listener.canTake();
    return !this.isWaiting;
  }

  private dropMessage(): void {
    this.message = undefined;
    this.response = undefined;
    this.bodyLeft = undefined;
  }

  /** Keeps bytes in the buffer of the socket. */
  private stopAt(chunk: Buffer, at: number): void {
    this.stopFlow();
    const rest = chunk.subarray(at);
    // A small part would keep the whole chunk in memory.
    const isSmall = rest.length * 2 < chunk.length;
    this.socket.unshift(isSmall ? Buffer.from(rest) : rest);
    this.updateHeld(this.socket.readableLength);
  }

  /** Finds the end of the next piece, which holds one end of a head at most. */
  private findPieceEnd(chunk: Buffer, at: number): number {
    if (this.isReceiving() && this.bodyLeft !== undefined) {
      return Math.min(chunk.length, at + this.bodyLeft);
    }
    const {tail} = this;
    if (tail.length > 0) {
      const next = chunk.subarray(at, at + tailBytes);
      const across = Buffer.concat([tail, next]).indexOf(terminator);
      if (across !== -1) return at + across + terminator.length - tail.length;
    }
    const isStart = this.headBytes === 0 && !this.isReceiving();
    const from = isStart ? findStart(chunk, at) : at;
    const found = chunk.indexOf(terminator, from);
    return found === -1 ? chunk.length : found + terminator.length;
  }

  private parsePiece(piece: Buffer): void {
    const isOfBody = this.isReceiving();
    const endsBody = isOfBody && this.bodyLeft === piece.length;
    this.parse(piece);
    this.updateTail(piece, endsBody);
    // The connection may be idle for long, and heads take memory.
    if (this.message?.complete === true) this.dropMessage();
    if (isOfBody) return this.recordBody(piece.length);
    const isWhole = this.tail.length === 0;
    this.headBytes = isWhole ? 0 : this.headBytes + piece.length;
    if (this.headBytes <= this.listener.getBounds().maxHeadBytes) return;
    this.fail(ReadFault.HeadTooLarge);
  }

  /** Keeps the last bytes, unless they end a head or a body. */
  private updateTail(piece: Buffer, endsBody: boolean): void {
    const bytes =
      piece.length >= terminator.length
        ? piece.subarray(-terminator.length)
        : Buffer.concat([this.tail, piece]).subarray(-terminator.length);
    const isEnd = endsBody || bytes.equals(terminator);
    this.tail = isEnd
      ? Buffer.alloc(0)
      : Buffer.from(bytes.subarray(-tailBytes));
  }

  private recordBody(bytes: number): void {
    if (this.message === undefined) return;
    if (this.bodyLeft !== undefined) this.bodyLeft -= bytes;
    if (this.response?.writableEnded !== true) return;
    this.leftBytes += bytes;
    if (this.leftBytes <= this.listener.getBounds().maxLeftBytes) return;
    this.fail(ReadFault.BodyTooLarge);
  }

  private updateHeld(bytes: number): void {
    // More may have come already, where there is much.
    const kernel = bytes >= manyBytes ? kernelBytes : 0;
    const head = this.headBytes * headCopies;
    if (this.listener.setHeld(bytes + head + kernel)) return;
    this.fail(ReadFault.NoMemory);
  }

  private fail(fault: ReadFault): void {
    if (this.isDropping) return;
    this.dropRest();
    this.listener.handleFault(fault);
  }

  private stopFlow(): net.Socket {
    if (this.isDropping) return this.socket;
    return net.Socket.prototype.pause.call(this.socket);
  }

  private resumeFlow(): net.Socket {
    const {socket} = this;
    const canRead = !this.isWaiting && !this.isPausedByServer;
    if (!canRead && !this.isDropping) return socket;
    return net.Socket.prototype.resume.call(socket);
  }
}

/** Finds the start of a request behind the empty lines that may come before it. */
function findStart(chunk: Buffer, at: number): number {
  let from = at;
  while (chunk[from] === carriageReturn || chunk[from] === lineFeed) from += 1;
  return from;
}
