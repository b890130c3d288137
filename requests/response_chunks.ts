/**
 * Reads the bodies of upstreams' responses, and tells whether they are complete.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { GARBAGE_METER } from "#core";
import { UpstreamSocket } from "./upstream_socket.ts";

const FIRST_ERROR_STATUS = 400;

/** Has the end of the connection confirmed for a response that has no other end. */
export function confirmEnd({ socket }: IncomingMessage): void {
  if (socket instanceof UpstreamSocket) socket.confirmEnd();
}

/** Yields the body; a body without a length seems complete to Node also after an error of its connection. */
export async function* readChunks(
  incoming: IncomingMessage,
  connectionError: () => Error | undefined,
): AsyncGenerator<Uint8Array> {
  const { socket } = incoming;
  for await (const chunk of incoming) {
    const bytes = chunk as Uint8Array;
    yield bytes;
    GARBAGE_METER.drop(bytes.length);
  }
  const error = connectionError();
  if (error !== undefined && !isEarlyError(incoming, { socket, error })) {
    throw error;
  }
  if (!incoming.complete) throw new Error("the response ended prematurely");
}

/**
 * Whether a response is an error that the upstream sent in full before it closed the connection without reading the rest
 * of the request. A success can't be believed then, since the upstream has not read what it would have run.
 */
function isEarlyError(
  { statusCode = 0 }: IncomingMessage,
  { socket, error }: { readonly socket: Socket; readonly error: Error },
): boolean {
  return statusCode >= FIRST_ERROR_STATUS && socket instanceof UpstreamSocket &&
    socket.isEndedUnread(error);
}
