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

/** A connection to an upstream. */
export class UpstreamSocket extends Socket {
  #confirmsEnd = false;

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

  override emit(event: string | symbol, ...values: unknown[]): boolean {
    if (event !== "end") return super.emit(event, ...values);
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
