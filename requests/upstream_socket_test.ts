import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { type Address, MEBIBYTE } from "#core";
import { type OutgoingCall, UpstreamHttp } from "./upstream_http.ts";

const HOST = "127.3.0.8";
/** Enough to see what happens once in a thousand calls. */
const CALLS = 3_000;
/** Calls with a long response. */
const LONG_CALLS = 200;
const CONCURRENCY = 20;
const HEAD = "HTTP/1.1 200 OK\r\n\r\n";
const ERROR_HEAD = "HTTP/1.1 413 Payload Too Large\r\n\r\n";
const PART = "id: 1\ndata: one\n\n";

/** Responds on a connection whose call has begun to arrive. */
type Respond = (socket: Socket) => void;

interface Ends {
  /** The statuses and lengths of responses that passed for complete. */
  readonly complete: ReadonlyMap<string, number>;
  readonly failed: number;
}

/** Counts how the responses to many calls end. */
async function endsOf(
  respond: Respond,
  { calls }: { readonly calls: number },
): Promise<Ends> {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => {});
    socket.once("data", () => respond(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const http = new UpstreamHttp();
  const complete = new Map<string, number>();
  let failed = 0;
  let left = calls;
  const callInTurn = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      // Both kinds of connections: new ones, and such that could be used again.
      const reuseConnection = left % 2 === 0;
      const call = callTo({ host: HOST, port }, { reuseConnection });
      const result = await http.call(call);
      if (result.err) failed += 1;
      else {
        const { status, body: { length } } = result.val;
        const kind = `${status}, ${length} bytes`;
        complete.set(kind, (complete.get(kind) ?? 0) + 1);
      }
    }
  };
  try {
    await Promise.all(Array.from({ length: CONCURRENCY }, callInTurn));
  } finally {
    http.close();
    server.close();
  }
  return { complete, failed };
}

function callTo(
  address: Address,
  { reuseConnection }: Pick<OutgoingCall, "reuseConnection">,
): OutgoingCall {
  return {
    address,
    method: "POST",
    target: "/",
    headers: ["Host", "h.example"],
    body: new Uint8Array(),
    signal: AbortSignal.timeout(30_000),
    reuseConnection,
  };
}

const RESETS: Readonly<Record<string, Respond>> = {
  "after its head": (socket) => {
    socket.write(HEAD, () => socket.resetAndDestroy());
  },
  "with its last bytes": (socket) => {
    socket.write(HEAD + PART, () => socket.resetAndDestroy());
  },
  "with the last of several writes": (socket) => {
    socket.write(HEAD);
    setImmediate(() => {
      socket.write(PART);
      socket.write(PART, () => socket.resetAndDestroy());
    });
  },
  "a moment after its last bytes": (socket) => {
    socket.write(HEAD + PART);
    setTimeout(() => socket.resetAndDestroy(), 2);
  },
};

for (const [when, respond] of Object.entries(RESETS)) {
  // Guards against a response without a length that is reset and passes for complete (a part of a text as the whole).
  test(`a response without a length that is reset ${when} is never complete`, async () => {
    const { complete, failed } = await endsOf(respond, { calls: CALLS });
    assert.deepEqual([...complete], []);
    assert.equal(failed, CALLS);
  });
}

const SOUND: Readonly<Record<string, readonly [Respond, string]>> = {
  "without a body": [(socket) => socket.end(HEAD), "200, 0 bytes"],
  "of one byte": [(socket) => socket.end(HEAD + "x"), "200, 1 bytes"],
  "of several writes": [(socket) => {
    socket.write(HEAD);
    setImmediate(() => {
      socket.write("x");
      socket.end("x");
    });
  }, "200, 2 bytes"],
  "that ends after a pause": [(socket) => {
    socket.write(HEAD + "x");
    setTimeout(() => socket.end(), 2);
  }, "200, 1 bytes"],
  "that is an error": [
    (socket) => socket.end(ERROR_HEAD + "x"),
    "413, 1 bytes",
  ],
};

for (const [name, [respond, expected]] of Object.entries(SOUND)) {
  // Guards against sound responses without a length that are refused.
  test(`a response without a length ${name} is complete once its connection ends`, async () => {
    const { complete } = await endsOf(respond, { calls: CALLS });
    assert.deepEqual([...complete], [[expected, CALLS]]);
  });
}

test("a response of megabytes without a length is complete once its connection ends", async () => {
  const body = Buffer.alloc(2 * MEBIBYTE);
  const { complete } = await endsOf((socket) => {
    socket.write(HEAD);
    socket.end(body);
  }, { calls: LONG_CALLS });
  assert.deepEqual([...complete], [[`200, ${body.length} bytes`, LONG_CALLS]]);
});
