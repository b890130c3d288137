import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { type Address, type Bytes, KIBIBYTE, MEBIBYTE } from "#core";
import { type OutgoingCall, UpstreamHttp } from "./upstream_http.ts";

const HOST = "127.3.0.8";
/** Enough to see what happens once in a thousand calls. */
const CALLS = 3_000;
/** Calls with a long upload or a long response. */
const LONG_CALLS = 200;
const CONCURRENCY = 20;
const LONG_UPLOAD: Bytes = 4 * MEBIBYTE;
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
  options: { readonly calls: number; readonly uploadBytes?: Bytes },
): Promise<Ends> {
  const { calls, uploadBytes = 0 } = options;
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => {});
    socket.once("data", () => respond(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const http = new UpstreamHttp();
  const body = new Uint8Array(uploadBytes);
  const complete = new Map<string, number>();
  let failed = 0;
  let left = calls;
  const callInTurn = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      // Both kinds of connections: new ones, and such that could be used again.
      const reuseConnection = left % 2 === 0;
      const call = callTo({ host: HOST, port }, { body, reuseConnection });
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
  { body, reuseConnection }: Pick<OutgoingCall, "body" | "reuseConnection">,
): OutgoingCall {
  return {
    address,
    method: "POST",
    target: "/",
    headers: ["Host", "h.example"],
    body,
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

const EARLY_RESETS: Readonly<Record<string, Respond>> = {
  "is reset": (socket) => {
    socket.write(HEAD + PART, () => socket.resetAndDestroy());
  },
  "is reset while the upload is read": (socket) => {
    socket.resume();
    socket.write(HEAD + PART);
    setTimeout(() => socket.resetAndDestroy(), 1);
  },
  "is closed with unread bytes": (socket) => {
    socket.pause();
    socket.write(HEAD + PART, () => socket.destroy());
  },
  "ends and is closed with unread bytes": (socket) => {
    socket.pause();
    socket.end(HEAD + PART, () => socket.destroy());
  },
};

for (const [how, respond] of Object.entries(EARLY_RESETS)) {
  // Guards against an early response to a long upload that is cut off and passes for complete.
  test(`a success without a length whose connection ${how} during a long upload is never complete`, async () => {
    const options = { calls: LONG_CALLS, uploadBytes: LONG_UPLOAD };
    const { complete, failed } = await endsOf(respond, options);
    assert.deepEqual([...complete], []);
    assert.equal(failed, LONG_CALLS);
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

const EARLY_ERRORS: Readonly<Record<string, Respond>> = {
  "reads the upload on": (socket) => {
    socket.resume();
    socket.end(ERROR_HEAD + "x");
  },
  "reads the upload slowly": (socket) => {
    socket.end(ERROR_HEAD + "x");
    socket.on("data", (chunk: Uint8Array) => {
      if (chunk.length < 32 * KIBIBYTE) return;
      socket.pause();
      setTimeout(() => socket.resume(), 1);
    });
  },
};

for (const [how, respond] of Object.entries(EARLY_ERRORS)) {
  // Guards against an early rejection of a long upload that doesn't reach the caller.
  test(`an early error without a length is complete if the upstream ${how}`, async () => {
    const options = { calls: LONG_CALLS, uploadBytes: LONG_UPLOAD };
    const { complete } = await endsOf(respond, options);
    assert.deepEqual([...complete], [["413, 1 bytes", LONG_CALLS]]);
  });
}

test("an early error without a length is complete if the upstream ends its side and then closes unread", async () => {
  const respond: Respond = (socket) => {
    socket.pause();
    socket.end(ERROR_HEAD + "x", () => setTimeout(() => socket.destroy(), 5));
  };
  const options = { calls: LONG_CALLS, uploadBytes: LONG_UPLOAD };
  const { complete } = await endsOf(respond, options);
  assert.deepEqual([...complete], [["413, 1 bytes", LONG_CALLS]]);
});

test("a call whose response without a length has ended is cancelled while its upload is still under way", async () => {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.pause();
      socket.end(HEAD + "x");
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const body = new Uint8Array(8 * LONG_UPLOAD);
  const call = callTo({ host: HOST, port }, { body, reuseConnection: true });
  const http = new UpstreamHttp();
  const result = await http.call({ ...call, signal: AbortSignal.timeout(200) });
  assert.equal(result.ok, false);
  http.close();
  server.close();
});
