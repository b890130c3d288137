/**
 * Tries whether an address accepts connections.
 *
 * @module
 */
import { connect } from "node:net";
import type { Address, Milliseconds } from "#core";
import type { ConnectionState } from "#crashes";

const CONNECT_TIMEOUT_MS: Milliseconds = 400;
/** An upstream that has just crashed refuses at once, or not at all. */
const CRASH_PROBE_TIMEOUT_MS: Milliseconds = 50;
const REFUSED_CODE = "ECONNREFUSED";

/** Returns whether a connection to an address is open within 400 ms; closes it without sending anything. */
export async function canConnect(address: Address): Promise<boolean> {
  return await probeAddress(address, CONNECT_TIMEOUT_MS) === "open";
}

/** Returns what a connection to the address of an upstream shows within 50 ms. */
export function probeCrash(address: Address): Promise<ConnectionState> {
  return probeAddress(address, CRASH_PROBE_TIMEOUT_MS);
}

function probeAddress(
  address: Address,
  timeoutMs: Milliseconds,
): Promise<ConnectionState> {
  return new Promise((resolve) => {
    const socket = connect({ host: address.host, port: address.port });
    const settle = (state: ConnectionState): void => {
      socket.destroy();
      resolve(state);
    };
    socket.setTimeout(timeoutMs, () => settle("silent"));
    socket.once("connect", () => settle("open"));
    socket.once("error", (error: NodeJS.ErrnoException) => {
      settle(error.code === REFUSED_CODE ? "refused" : "silent");
    });
  });
}
