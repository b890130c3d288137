/**
 * A misbehaving client: a connection that sends arbitrary bytes and reads the responses, or nothing.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import type { Address, Bytes, Milliseconds } from "#core";

/** The crowd's own address, so that its connections can be distinguished from others. */
const LOCAL_ADDRESS = "127.25.1.200";
/** How long a crowd sends at most; what the process has not read by then stays in the socket buffers. */
const SEND_LIMIT_MS: Milliseconds = 4_000;

/** A connection of a crowd. */
export class CrowdClient {
  readonly #socket: Socket;
  readonly #endsAtMs = performance.now() + SEND_LIMIT_MS;
  #isStopped = false;

  /** Connects; a client that does not read leaves the responses in the socket buffers. */
  constructor(to: Address, options: { readonly reads: boolean }) {
    this.#socket = connect({ ...to, localAddress: LOCAL_ADDRESS });
    this.#socket.on("error", () => this.#socket.destroy());
    if (options.reads) this.#socket.resume();
  }

  /** Whether the client may go on sending. */
  get isOpen(): boolean {
    return !this.#isStopped && !this.#socket.destroyed &&
      this.#socket.writable && performance.now() < this.#endsAtMs;
  }

  /** Sends bytes; resolves once the system has accepted them, the connection is closed or the time is over. */
  send(bytes: string | Uint8Array): Promise<void> {
    if (!this.isOpen) return Promise.resolve();
    return new Promise((resolve) => {
      const settle = (): void => {
        clearTimeout(timer);
        this.#socket.off("close", settle);
        resolve();
      };
      const leftMs = this.#endsAtMs - performance.now();
      const timer = setTimeout(settle, Math.max(0, leftMs));
      this.#socket.once("close", settle);
      this.#socket.write(bytes, settle);
    });
  }

  /** Sends the same bytes a number of times, as far as the connection allows. */
  async sendTimes(bytes: Uint8Array, times: number): Promise<void> {
    for (let sent = 0; sent < times && this.isOpen; sent += 1) {
      await this.send(bytes);
    }
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.#isStopped = true;
    this.#socket.destroy();
  }
}

/** Returns the head of a request with these further header lines, and a body size if there is one. */
export function headOf(
  line: string,
  lines: readonly string[],
  bodyBytes?: Bytes,
): string {
  const length = bodyBytes === undefined
    ? []
    : [`Content-Length: ${bodyBytes}`];
  return [`${line} HTTP/1.1`, ...lines, ...length, "", ""].join("\r\n");
}
