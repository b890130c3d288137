/**
 * Loopback addresses for tests.
 *
 * @module
 */
import process from "node:process";

const FIRST_BLOCK = 100;
const BLOCKS = 100;
const NETWORKS = 250;

/**
 * Returns an IP address that no other running test process uses, so that several checkouts can run their tests on one
 * machine at a time.
 *
 * @param host Number of the host, 1 to 250; one process may use several.
 * @example
 * ```ts
 * server.listen({ host: loopbackHost(1), port: 17_101 });
 * ```
 */
export function loopbackHost(host: number): string {
  const block = FIRST_BLOCK + process.pid % BLOCKS;
  const network = Math.floor(process.pid / BLOCKS) % NETWORKS;
  return `127.${block}.${network}.${host}`;
}
