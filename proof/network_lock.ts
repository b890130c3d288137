/**
 * A lock that lets one test cluster at a time use a range of loopback addresses, also between several test runs on
 * one machine. The lock is a listening socket, which the operating system releases when its process exits.
 *
 * @module
 */
import { createServer, type Server } from "node:net";
import type { Milliseconds } from "#core";
import { waitUntil } from "./managed_process.ts";

const LOCK_PORT = 6_999;
const LOCK_HOST_NUMBER = 250;
const LOCK_TIMEOUT_MS: Milliseconds = 300_000;

/** A locked range of addresses. */
export interface NetworkLock {
  /** Releases the range. */
  readonly release: () => Promise<void>;
}

/** Waits until the range that starts at `block.network` is free, and locks it. */
export async function lockNetwork(
  site: { readonly block: string; readonly network: number },
): Promise<NetworkLock> {
  const host = `${site.block}.${site.network}.${LOCK_HOST_NUMBER}`;
  let server: Server | undefined;
  await waitUntil(`addresses ${host} are free`, LOCK_TIMEOUT_MS, async () => {
    server = await tryListen(host);
    return server !== undefined;
  });
  return { release: () => close(server) };
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
