/**
 * Lets one cluster at a time use a range of loopback addresses, also when the tests run twice on one machine.
 *
 * @module
 */
import { createServer, type Server } from "node:net";
import type { Milliseconds } from "#core";
import { waitUntil } from "./managed_process.ts";

const LOCK_PORT = 6_999;
const LOCK_HOST_NUMBER = 250;
const LOCK_TIMEOUT_MS: Milliseconds = 300_000;

/** A range of addresses that is held until it is released. */
export interface NetworkLock {
  /** Gives the range free. */
  readonly release: () => Promise<void>;
}

/** Waits until nobody else holds the range that begins at `block.network`, then holds it. */
export async function lockNetwork(
  site: { readonly block: string; readonly network: number },
): Promise<NetworkLock> {
  const host = `${site.block}.${site.network}.${LOCK_HOST_NUMBER}`;
  let held: Server | undefined;
  await waitUntil(`addresses ${host} are free`, LOCK_TIMEOUT_MS, async () => {
    held = await tryListen(host);
    return held !== undefined;
  });
  return { release: () => close(held) };
}

function tryListen(host: string): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(undefined));
    server.listen({ host, port: LOCK_PORT }, () => resolve(server));
  });
}

function close(server: Server | undefined): Promise<void> {
  return new Promise((resolve) => {
    if (server === undefined) return resolve();
    server.close(() => resolve());
  });
}
