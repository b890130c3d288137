/**
 * One connection to an upstream, for calls that must reach the same process as the call before. It is never replaced by
 * another connection.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Milliseconds } from "#core";
import { UpstreamAgent } from "./upstream_socket.ts";

const KEEP_ALIVE_PROBE_DELAY_MS: Milliseconds = 1_000;

/** A connection over which calls are sent one after the other. */
export class SingleConnection {
  /** Opens the connection with the first call. */
  readonly agent = new UpstreamAgent({
    keepAlive: true,
    keepAliveMsecs: KEEP_ALIVE_PROBE_DELAY_MS,
    maxSockets: 1,
  });
  #socket: Socket | undefined;

  /** Whether further calls can be sent. */
  get isOpen(): boolean {
    return this.#socket !== undefined && !this.#socket.destroyed;
  }

  /** Whether a call may use a socket: the first one only. */
  admits(socket: Socket): boolean {
    this.#socket ??= socket;
    return this.#socket === socket;
  }

  /** Closes the connection. */
  close(): void {
    this.agent.destroy();
    this.#socket?.destroy();
  }
}
