import http from 'node:http';
import {performance} from 'node:perf_hooks';
import type {Duplex} from 'node:stream';
import {
  AnswerProof,
  canForwardStatus,
  checkItem,
  describeExcess,
  IntakeKind,
  kindLimits,
  UnframedVerdict,
  verifyAnswer,
  type IntakeExcess,
} from '@zinniaspindle/decisions';
import type {Deadline, Instant} from '@zinniaspindle/shared';
import {describeAnswerEnd, hasStatedEnd} from '../links/answer_end.js';
import {checkEnd} from '../links/check_end.js';
import type {ConnectionKeeper} from '../links/kept_connections.js';
import {
  EndProof,
  openDirect,
  type CancelConnection,
  type EndpointConnection,
  type OpenConnection,
} from '../links/open_connection.js';
import type {
  EndpointAnswer,
  ExchangeCodec,
  RawHeaders,
} from '../ports/index.js';
import {FramingBound} from '../intake/framing_bound.js';
import {computeHeadExcess, headOverflowCode} from '../intake/head_excess.js';
import {isSuccess} from './answer_status.js';
import {findHeadFault} from './find_head_fault.js';

/**
 * Endpoints accept within 2 ms; a lost packet is retransmitted after a second.
 */
const connectTimeoutMilliseconds = 500;

/** How a request to an endpoint ended. */
export enum UpstreamEnd {
  /** The answer is complete. */
  Complete = 'complete',
  /** No connection was established: the endpoint has not seen the request. */
  NotSent = 'notSent',
  /**
   * The endpoint may have run the request; the answer is missing or incomplete.
   */
  Broken = 'broken',
}

/** The content and target of a request to an endpoint. */
export interface UpstreamRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** The id that the answer must carry. */
  readonly attemptId: string;
  /** Whether the request may run more than once. */
  readonly canRunAgain: boolean;
  readonly deadline: Deadline;
  /** Opens the connection; undefined to connect to the address. */
  readonly openConnection?: OpenConnection;
  /** Keeps the connection after a complete answer; undefined to close it. */
  readonly keeper?: ConnectionKeeper | undefined;
  /**
   * Verifies the regular end of a connection with an answer that has neither a
   * length nor chunks.
   */
  readonly verifyEnd: (end: UnframedEnd) => Promise<UnframedVerdict>;
}

/** The regular end of a connection. */
export interface UnframedEnd {
  /** The peer through which the connection went; undefined for none. */
  readonly relay: string | undefined;
  /** Time since the last bytes. */
  readonly silentMilliseconds: number;
}

/** Receives the answer; handleEnd is called last, and exactly once. */
export interface UpstreamListener {
  /** Called with each head, also that of an answer that is not accepted. */
  handleHead?(answer: EndpointAnswer): void;
  handleAnswer(answer: EndpointAnswer): void;
  /** Gives the bound that the chunk exceeds, if any; the request ends then. */
  handleChunk(chunk: Buffer): IntakeExcess | undefined;
  /** Called before the end of a request whose answer exceeds a bound. */
  handleExcess?(excess: IntakeExcess): void;
  /** Called before the end of a request whose success has no seal. */
  handleUnsealed?(detail: string): void;
  /** Called when an answer without a length has ended, before that is verified. */
  handleLastByte?(): void;
  handleEnd(end: UpstreamEnd, detail: string): void;
}

/**
 * A request to an endpoint, the only one on its connection at that time. Without a
 * keeper it is the only one ever, so that bytes of another answer cannot be mistaken
 * for this one.
 */
export class Upstream {
  private readonly request: http.ClientRequest;
  private framing: FramingBound | undefined;
  private readonly connectTimer: NodeJS.Timeout;
  private message: http.IncomingMessage | undefined;
  private connection: EndpointConnection | undefined;
  /** Bytes that came on the connection for earlier requests. */
  private earlierBytes = 0;
  /** Whether an answer with the id of this request has begun. */
  private hasAnswer = false;
  /** Whether bytes came after the answer. */
  private hasExtraBytes = false;
  private readonly cancelConnection: CancelConnection;
  private readonly closeHandlers: (() => void)[] = [];
  private hasEnded = false;
  /** Whether an answer without a length has been read to its last byte. */
  private hasReadAll = false;
  /** When bytes of the answer last came, or could come again. */
  private lastBytesAt: Instant = -Infinity;
  /** Whether the end of its connection is the regular end of such an answer. */
  private isEndConfirmed = false;

  constructor(
    private readonly options: UpstreamRequest,
    private readonly codec: ExchangeCodec,
    private readonly listener: UpstreamListener,
  ) {
    let handleSocket: (error: Error | null, socket: Duplex) => void;
    this.request = http.request({
      createConnection: (_options, handle) => {
        handleSocket = handle;
        return undefined;
      },
      method: options.method,
      path: options.path,
      headers: options.headers as unknown as http.OutgoingHttpHeaders,
      maxHeaderSize: kindLimits[IntakeKind.Head].maxItem,
    });
    // Without an agent, node:http ends the connection with the answer.
    if (options.keeper !== undefined) this.request.shouldKeepAlive = true;
    const remaining = options.deadline - performance.now();
    const wait = Math.max(1, Math.min(connectTimeoutMilliseconds, remaining));
    this.connectTimer = setTimeout(() => {
      this.close(UpstreamEnd.NotSent, 'connection timed out');
    }, wait);
    this.handleEvents();
    this.request.end(options.body.length > 0 ? options.body : undefined);
    const {openConnection = handle => openDirect(options.address, handle)} =
      options;
    this.cancelConnection = openConnection(opened => {
      if (opened.isErr) {
        return this.close(UpstreamEnd.NotSent, opened.error.message);
      }
      this.acceptConnection(opened.value);
      handleSocket(null, opened.value.socket);
    });
  }

  /**
   * Cancels the request by closing its connection; the listener is not called.
   */
  cancel(): void {
    this.hasEnded = true;
    clearTimeout(this.connectTimer);
    this.cancelConnection();
    this.request.destroy();
    this.runCloseHandlers();
  }

  /** Calls a function when the request ends or is cancelled. */
  addCloseHandler(handleClose: () => void): void {
    this.closeHandlers.push(handleClose);
  }

  /** The peer VM through which the connection goes; undefined for none. */
  getRelay(): string | undefined {
    return this.connection?.relay;
  }

  /**
   * Counts the bytes that have come on a connection of this VM itself; undefined
   * without one.
   */
  countDirectBytes(): number | undefined {
    const {connection} = this;
    if (connection === undefined || connection.relay !== undefined) {
      return undefined;
    }
    return connection.socket.bytesRead;
  }

  /** Pauses reading the answer, for backpressure. */
  stopReading(): void {
    this.message?.pause();
  }

  /** Resumes reading the answer. */
  resumeReading(): void {
    this.lastBytesAt = performance.now();
    this.message?.resume();
  }

  /** Tells whether the answer states where it ends, by a length or chunks. */
  isFramed(): boolean {
    return this.message !== undefined && this.hasLength(this.message);
  }

  private acceptConnection(connection: EndpointConnection): void {
    this.connection = connection;
    clearTimeout(this.connectTimer);
    const {socket} = connection;
    this.earlierBytes = socket.bytesRead;
    const handleEnd = () => {
      if (this.message !== undefined && !this.hasLength(this.message)) {
        this.verifyEnd(connection);
      }
    };
    socket.on('end', handleEnd);
    if (this.options.keeper === undefined) return;
    // Before that of the parser, which the last bytes of the answer complete.
    const handleBytes = () => {
      if (this.message?.complete === true) this.hasExtraBytes = true;
    };
    socket.on('data', handleBytes);
    socket.once('free', () => {
      socket.off('end', handleEnd);
      socket.off('data', handleBytes);
    });
  }

  /**
   * Distinguishes the regular end of a connection, with which an answer without a
   * length is complete, from any other one.
   */
  private verifyEnd({socket, endProof}: EndpointConnection): void {
    switch (endProof) {
      case EndProof.Peer:
        return void this.acceptEnd();
      case EndProof.None:
        return this.close(UpstreamEnd.Broken, 'no peer confirms the end');
      case EndProof.Write:
        checkEnd(socket, error => {
          if (error === undefined) void this.acceptEnd();
          else this.close(UpstreamEnd.Broken, error.message);
        });
    }
  }

  private async acceptEnd(): Promise<void> {
    const silentMilliseconds = performance.now() - this.lastBytesAt;
    const end = {relay: this.getRelay(), silentMilliseconds};
    this.listener.handleLastByte?.();
    const verdict = await this.options.verifyEnd(end);
    if (verdict !== UnframedVerdict.Whole) {
      return this.close(UpstreamEnd.Broken, verdict);
    }
    this.isEndConfirmed = true;
    this.closeIfWhole();
  }

  /** Ends an answer without a length, whose reader may be behind its connection. */
  private closeIfWhole(): void {
    if (!this.isEndConfirmed || !this.hasReadAll) return;
    this.close(UpstreamEnd.Complete, 'complete');
  }

  private handleEvents(): void {
    const {request} = this;
    this.framing = new FramingBound(request, excess => {
      if (this.message?.complete !== true) this.checkExcess(excess);
    });
    let interimHeads = 0;
    request.on('information', () => {
      interimHeads += 1;
      this.checkExcess(checkItem(IntakeKind.InterimHeads, interimHeads));
    });
    request.on('error', error => {
      if (this.isBeyondAnswer()) return;
      if ((error as NodeJS.ErrnoException).code === headOverflowCode) {
        const bytesRead = request.socket?.bytesRead ?? 0;
        this.checkExcess(computeHeadExcess(bytesRead - this.earlierBytes));
      }
      const isSent = this.connection !== undefined;
      const end = isSent ? UpstreamEnd.Broken : UpstreamEnd.NotSent;
      this.close(end, error.message);
    });
    request.on('close', () => {
      if (this.message === undefined) {
        this.close(UpstreamEnd.Broken, 'connection closed without an answer');
      }
    });
    request.on('response', message => this.accept(message));
  }

  private accept(message: http.IncomingMessage): void {
    if (this.hasEnded) return;
    this.message = message;
    if (!this.hasLength(message)) this.recordBytes(message.socket);
    const answer = this.codec.decodeAnswer(message);
    if (this.isOfAnother(answer)) {
      const detail = `answer has the id "${answer.attemptId}" of another request`;
      return this.close(UpstreamEnd.Broken, detail);
    }
    this.hasAnswer = true;
    const fault = findHeadFault(answer);
    if (fault !== undefined) return this.close(UpstreamEnd.Broken, fault);
    this.listener.handleHead?.(answer);
    const proof = verifyAnswer(answer, this.options.attemptId);
    if (proof === AnswerProof.Nothing) {
      const {status, attemptId = ''} = answer;
      const detail = `answer has id "${attemptId}" and status ${status}`;
      this.close(UpstreamEnd.Broken, detail);
      return;
    }
    if (proof === AnswerProof.NotRun) {
      // Complete without its body, which changes nothing.
      this.listener.handleAnswer(answer);
      this.close(UpstreamEnd.Complete, 'not run');
      return;
    }
    if (!canForwardStatus(answer.status, this.options.canRunAgain)) {
      // Complete without its body, which the caller must not get.
      this.listener.handleAnswer(answer);
      this.close(UpstreamEnd.Complete, 'a promise after a run');
      return;
    }
    if (isSuccess(answer.status) && !answer.hasSeal) {
      this.listener.handleAnswer(answer);
      const detail = `answer with status ${answer.status} has no seal`;
      this.listener.handleUnsealed?.(detail);
      this.close(UpstreamEnd.Broken, detail);
      return;
    }
    message.on('data', (chunk: Buffer) => {
      if (this.hasEnded) return;
      this.framing?.addBody(chunk.length);
      this.checkExcess(this.listener.handleChunk(chunk));
    });
    message.on('error', error => this.close(UpstreamEnd.Broken, error.message));
    message.on('end', () => {
      if (!this.hasLength(message)) {
        this.hasReadAll = true;
        this.closeIfWhole();
      } else if (message.complete) this.resolveComplete(message, answer);
      else this.close(UpstreamEnd.Broken, 'answer was cut off');
    });
    message.on('close', () => {
      if (!this.hasLength(message) && message.complete) return;
      this.close(UpstreamEnd.Broken, 'answer was cut off');
    });
    this.listener.handleAnswer(answer);
  }

  /** Records when bytes come on a connection, whose reader may be behind it. */
  private recordBytes(connection: Duplex): void {
    this.lastBytesAt = performance.now();
    connection.on('data', () => (this.lastBytesAt = performance.now()));
  }

  /** Ends the request if its answer exceeds a bound. */
  private checkExcess(excess: IntakeExcess | undefined): void {
    if (excess === undefined || this.hasEnded) return;
    this.listener.handleExcess?.(excess);
    this.close(UpstreamEnd.Broken, describeExcess(excess));
  }

  /**
   * Tells whether an answer on a connection with several requests may be that to
   * another one, sent late or twice.
   */
  private isOfAnother({attemptId}: EndpointAnswer): boolean {
    return this.isReused() && attemptId !== this.options.attemptId;
  }

  /** Tells whether the connection has had an answer to an earlier request. */
  private isReused(): boolean {
    return this.options.keeper !== undefined && this.earlierBytes > 0;
  }

  /** Tells whether a fault is that of bytes after the answer, which is whole. */
  private isBeyondAnswer(): boolean {
    const {keeper} = this.options;
    if (keeper === undefined || this.message?.complete !== true) return false;
    this.hasExtraBytes = true;
    return true;
  }

  /** Ends the request after its complete answer, and keeps the connection. */
  private resolveComplete(
    message: http.IncomingMessage,
    answer: EndpointAnswer,
  ): void {
    const {request, connection, options} = this;
    const {keeper, method} = options;
    // The request counts as destroyed once it has given up its connection.
    const isFreed = request.destroyed && request.shouldKeepAlive;
    if (this.hasEnded || keeper === undefined || !isFreed) {
      return this.close(UpstreamEnd.Complete, 'complete');
    }
    this.hasEnded = true;
    connection?.socket.once('free', () => {
      const {hasExtraBytes} = this;
      const end = describeAnswerEnd(message, method, answer, hasExtraBytes);
      keeper.accept(connection, end);
    });
    this.runCloseHandlers();
    this.listener.handleEnd(UpstreamEnd.Complete, 'complete');
  }

  private runCloseHandlers(): void {
    for (const handleClose of this.closeHandlers.splice(0)) handleClose();
  }

  private close(end: UpstreamEnd, detail: string): void {
    if (this.hasEnded) return;
    if (this.isReused() && !this.hasAnswer) this.options.keeper?.recordFailed();
    this.cancel();
    this.listener.handleEnd(end, detail);
  }

  /** Tells whether the head of an answer determines where its body ends. */
  private hasLength(message: http.IncomingMessage): boolean {
    return hasStatedEnd(message, this.options.method);
  }
}
