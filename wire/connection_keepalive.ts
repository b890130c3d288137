/**
 * Detects connections that no longer deliver data but were never reset.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Clock, Milliseconds, Timer } from "#core";

/** Interval at which idle connections are pinged; the pong must arrive before the next check. */
const PING_PERIOD_MS: Milliseconds = 600;

/** Clock and callbacks of the keepalive. */
export interface KeepaliveOptions {
  readonly clock: Clock;
  /** Sends a ping, which the peer answers with a pong. */
  readonly ping: () => void;
  /** Called at each check that follows an unanswered ping. */
  readonly onUnresponsive: () => void;
}

/** Pings a connection while no data arrives on it; cancelling the returned timer stops the pings. */
export function startKeepalive(
  socket: Pick<Socket, "bytesRead" | "connecting">,
  options: KeepaliveOptions,
): Timer {
  let previousBytesRead = 0;
  let awaitsPong = false;
  return options.clock.every(PING_PERIOD_MS, () => {
    const isIdle = socket.bytesRead === previousBytesRead;
    if (isIdle && awaitsPong) {
      options.onUnresponsive();
      return;
    }
    previousBytesRead = socket.bytesRead;
    awaitsPong = isIdle && !socket.connecting;
    if (awaitsPong) options.ping();
  });
}
