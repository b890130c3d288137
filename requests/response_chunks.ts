/**
 * Reads the bodies of upstreams' responses, and tells whether they are complete.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { GARBAGE_METER } from "#core";
import { UpstreamSocket } from "./upstream_socket.ts";

/** Has the end of the connection confirmed for a response that has no other end. */
export function confirmEnd({ socket }: IncomingMessage): void {
  if (socket instanceof UpstreamSocket) socket.confirmEnd();
}

/** Yields the body; a body without a length seems complete to Node also after an error of its connection. */
export async function* readChunks(
  incoming: IncomingMessage,
  connectionError: () => Error | undefined,
): AsyncGenerator<Uint8Array> {
  for await (const chunk of incoming) {
    const bytes = chunk as Uint8Array;
    yield bytes;
    GARBAGE_METER.drop(bytes.length);
  }
  const error = connectionError();
  if (error !== undefined) throw error;
  if (!incoming.complete) throw new Error("the response ended prematurely");
}
