/**
 * Notices connections that have gone silent without a reset.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Clock, Milliseconds, Timer } from "#core";

/** How often a connection on which nothing arrives is pinged; the answer must be there by the next time. */
const PING_PERIOD_MS: Milliseconds = 600;

/** What a watch does. */
export interface SilenceWatchOptions {
  readonly clock: Clock;
  /** Sends a ping, which the peer answers. */
  readonly ping: () => void;
  /** Called when a ping stayed unanswered. */
  readonly onSilent: () => void;
}

/** Pings a connection while nothing arrives on it; the timer ends the watch. */
export function watchSilence(
  socket: Pick<Socket, "bytesRead" | "connecting">,
  options: SilenceWatchOptions,
): Timer {
  let seenBytes = 0;
  let waiting = false;
  return options.clock.every(PING_PERIOD_MS, () => {
    const silent = socket.bytesRead === seenBytes;
    if (silent && waiting) {
      options.onSilent();
      return;
    }
    seenBytes = socket.bytesRead;
    waiting = silent && !socket.connecting;
    if (waiting) options.ping();
  });
}
