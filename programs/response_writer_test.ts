import assert from "node:assert/strict";
import { test } from "node:test";
import type { HttpRoute } from "#core";
import { UpstreamSocket } from "#requests";
import { withServer } from "./http_testing.ts";

const PART = "id: 1\ndata: one\n\n";
const RUNS = 400;

function streamingRoute(isWhole: boolean): HttpRoute {
  return {
    method: "ANY",
    pattern: "/*path",
    name: "stream",
    handle: () =>
      Promise.resolve({ status: 200, headers: {}, body: events(isWhole) }),
  };
}

async function* events(isWhole: boolean): AsyncGenerator<string> {
  yield PART;
  await new Promise((resolve) => setTimeout(resolve, 2));
  if (!isWhole) throw new Error("the upstream broke off");
  yield PART;
}

/**
 * Sends a request of a client that can't read chunks; returns what it receives, and whether the connection is reset, also
 * if the reset arrives together with the last bytes.
 */
async function receive(
  isWhole: boolean,
): Promise<{ readonly body: string; readonly isReset: boolean }> {
  let received = "";
  let isReset = false;
  await withServer({ routes: [streamingRoute(isWhole)] }, async (running) => {
    const socket = new UpstreamSocket(running.address);
    socket.confirmEnd();
    socket.on("data", (bytes) => received += bytes.toString());
    socket.on("error", () => isReset = true);
    socket.connect(running.address);
    socket.write("GET /stream HTTP/1.0\r\nHost: h\r\n\r\n");
    await new Promise((resolve) => socket.once("close", resolve));
  });
  const body = received.slice(received.indexOf("\r\n\r\n") + 4);
  return { body, isReset };
}

// Guards against a stream that broke off and looks complete to a client of HTTP/1.0, whose responses have no marked end.
test("a stream that breaks off is reset for a client that can't read chunks", async () => {
  for (let run = 0; run < RUNS; run += 1) {
    assert.equal((await receive(false)).isReset, true, `run ${run}`);
  }
});

test("a whole stream ends in order for a client that can't read chunks", async () => {
  for (let run = 0; run < RUNS; run += 1) {
    const whole = { body: PART + PART, isReset: false };
    assert.deepEqual(await receive(true), whole);
  }
});
