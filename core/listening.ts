/**
 * Listens for TCP connections for as long as a process runs.
 *
 * @module
 */
import type { Server } from "node:net";
import type { Address } from "./bundle.ts";

/**
 * Starts accepting connections; rejects if the address can't be bound. Errors after that, as when the system has no
 * memory for a connection, concern that connection only: they are passed to `onError` and end neither the server nor
 * the process.
 *
 * @example
 * ```ts
 * await listenOn(server, { host: "127.0.0.1", port: 0 }, (error) => console.error(error.message));
 * ```
 */
export function listenOn(
  server: Server,
  { host, port }: Address,
  onError: (error: Error) => void,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port }, () => {
      server.off("error", reject);
      server.on("error", onError);
      resolve();
    });
  });
}
