/**
 * Connections to upstreams that tell an orderly end from a reset. A response without a length is complete only after an
 * orderly end, but the runtime reports both as the end of the data if a reset arrives together with the last bytes.
 *
 * After a reset the operating system fails each write, and after an orderly end it accepts them. So the connection stays
 * open for writing, and its end is reported only once a write of no bytes has succeeded.
 *
 * @module
 */
import { Agent, type ClientRequestArgs } from "node:http";
import { Socket, type TcpNetConnectOpts } from "node:net";
import type { Duplex } from "node:stream";

const NO_BYTES = new Uint8Array();
/** Error of a write to a connection that the peer reset after it had ended its side in order. */
const RESET_AFTER_END = "EPIPE";

/** A connection to an upstream. */
export class UpstreamSocket extends Socket {
  #confirmsEnd = false;
  #hasEnded = false;

  constructor(options: TcpNetConnectOpts) {
    super({ ...options, allowHalfOpen: true });
  }

  /**
   * From now on, reports the end of the connection only if it is orderly, and an error otherwise: after the last byte that
   * is still to be sent.
   */
  confirmEnd(): void {
    this.#confirmsEnd = true;
  }

  /** Whether an error was reported though the peer had ended its side in order: it has not read all that was sent. */
  isEndedUnread(error: Error): boolean {
    const { code } = error as NodeJS.ErrnoException;
    return this.#hasEnded && code === RESET_AFTER_END;
  }

  /** Holds the event `end` back while it is to be confirmed, as that is what ends a response without a length. */
  override emit(event: string | symbol, ...values: unknown[]): boolean {
    if (event !== "end") return super.emit(event, ...values);
    this.#hasEnded = true;
    if (this.#confirmsEnd) {
      this.write(NO_BYTES, (error) => {
        if (!error) this.#reportEnd();
      });
      return true;
    }
    return this.#reportEnd();
  }

  #reportEnd(): boolean {
    const isHandled = super.emit("end");
    this.end();
    return isHandled;
  }
}

/** Opens connections to upstreams. */
export class UpstreamAgent extends Agent {
  override createConnection(options: ClientRequestArgs): Duplex {
    const tcpOptions = options as TcpNetConnectOpts;
    return new UpstreamSocket(tcpOptions).connect(tcpOptions);
  }
}
