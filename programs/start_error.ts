/**
 * Describes for the operator why a program failed to start.
 *
 * @module
 */

interface SystemError extends Error {
  readonly code?: string;
  readonly address?: string;
  readonly port?: number;
  readonly path?: string;
}

/**
 * Returns one line for the operator: the resource concerned, the error and what to do.
 *
 * @example
 * ```ts
 * try {
 *   await server.listen();
 * } catch (error) {
 *   console.error(startErrorText("cicadafield-entry", error));
 *   process.exitCode = EXIT_CODES.failure;
 * }
 * ```
 */
export function startErrorText(program: string, error: unknown): string {
  return `${program}: ${describeError(error)}`;
}

function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const systemError = error as SystemError;
  const address = `${systemError.address ?? "the address"}:${
    systemError.port ?? "?"
  }`;
  const path = systemError.path ?? "the data folder";
  switch (systemError.code) {
    case "EADDRINUSE":
      return `${address} is in use; stop the program that listens there or choose another port`;
    case "EADDRNOTAVAIL":
      return `${address} is not an address of this VM; choose one that is`;
    case "EACCES":
    case "EPERM":
    case "EROFS":
      if (systemError.port !== undefined) {
        return `this user has no permission to listen on ${address}; choose a port above 1023`;
      }
      return `${path} can't be written; give this user write permission or choose another data folder`;
    case "ENOTDIR":
    case "EEXIST":
      return `${path} is not a folder; choose another data folder`;
    case "ENOENT":
      return `${path} does not exist; create it or choose another path`;
    case "ENOSPC":
      return `the disk of ${path} is full; free some space and start the program again`;
    default:
      return systemError.message;
  }
}
