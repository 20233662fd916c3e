import type {EndpointAnswer} from '../ports/index.js';
import type {EndpointRequest} from './endpoint_request.js';
import {UpstreamEnd, type Upstream, type UpstreamListener} from './upstream.js';

/** What sends a request on a kept connection, and again on a new one. */
export interface KeptSending {
  /** Sends it on the kept connection. */
  readonly openKept: (listener: UpstreamListener) => Upstream;
  /** Sends it on a new connection. */
  readonly openNew: (listener: UpstreamListener) => Upstream;
  /**
   * Tells whether it may be sent again, and counts that.
   * @param isWritten whether the endpoint may have received some of it
   */
  readonly takeRepeat: (isWritten: boolean) => boolean;
}

/**
 * A request on a kept connection, which its endpoint may be closing at that moment.
 * If nothing of its own answer comes, it is sent again once on a new connection.
 */
export class KeptUpstream implements EndpointRequest {
  private current: Upstream;
  private readonly closeHandlers: (() => void)[] = [];
  private isStopped = false;

  constructor(
    private readonly sending: KeptSending,
    private readonly listener: UpstreamListener,
  ) {
    this.current = sending.openKept({
      ...this.makeListener(),
      handleEnd: (end, detail) => this.handleKeptEnd(end, detail),
    });
  }

  cancel(): void {
    this.current.cancel();
    this.runCloseHandlers();
  }

  addCloseHandler(handleClose: () => void): void {
    this.closeHandlers.push(handleClose);
  }

  getRelay(): string | undefined {
    return this.current.getRelay();
  }

  countDirectBytes(): number | undefined {
    return this.current.countDirectBytes();
  }

  stopReading(): void {
    this.isStopped = true;
    this.current.stopReading();
  }

  resumeReading(): void {
    this.isStopped = false;
    this.current.resumeReading();
  }

  isFramed(): boolean {
    return this.current.isFramed();
  }

  private makeListener(): UpstreamListener {
    const {listener} = this;
    return {
      handleHead: answer => listener.handleHead?.(answer),
      handleAnswer: answer => this.handleAnswer(answer),
      handleChunk: chunk => listener.handleChunk(chunk),
      handleExcess: excess => listener.handleExcess?.(excess),
      handleUnsealed: detail => listener.handleUnsealed?.(detail),
      handleEnd: (end, detail) => this.handleEnd(end, detail),
    };
  }

  private handleAnswer(answer: EndpointAnswer): void {
    this.listener.handleAnswer(answer);
    if (this.isStopped) this.current.stopReading();
  }

  private handleKeptEnd(end: UpstreamEnd, detail: string): void {
    const {current, sending} = this;
    const canRepeat =
      end === UpstreamEnd.Broken &&
      !current.hasOwnAnswer() &&
      sending.takeRepeat(current.isWritten());
    if (!canRepeat) return this.handleEnd(end, detail);
    this.current = sending.openNew(this.makeListener());
  }

  private handleEnd(end: UpstreamEnd, detail: string): void {
    this.runCloseHandlers();
    this.listener.handleEnd(end, detail);
  }

  private runCloseHandlers(): void {
    for (const handleClose of this.closeHandlers.splice(0)) handleClose();
  }
}
