/**
 * Tries whether an address accepts connections.
 *
 * @module
 */
import { connect } from "node:net";
import type { Address, Milliseconds } from "#core";

const CONNECT_TIMEOUT_MS: Milliseconds = 400;

/** Returns whether a connection to an address is open within 400 ms; closes it without sending anything. */
export function canConnect(address: Address): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: address.host, port: address.port });
    const settle = (connected: boolean): void => {
      socket.destroy();
      resolve(connected);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => settle(false));
    socket.once("connect", () => settle(true));
    socket.once("error", () => settle(false));
  });
}
