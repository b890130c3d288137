import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { test } from "node:test";
import { isFinalStatus, SystemClock } from "#core";
import {
  type Behaviour,
  readAll,
  respond,
  send,
  STREAM,
  streamUntil,
  withUpstreams,
} from "./forwarder_test_support.ts";
import { UpstreamClient } from "./upstream_client.ts";
import { UpstreamHttp } from "./upstream_http.ts";

/** Status lines with three digits that no exchange ends with, and an upgrade that nobody asked for. */
const ODD_STATUSES = ["000", "001", "099", "101", "600", "999"];
const TIMEOUT_MS = 2_000;

function writeOdd(
  request: IncomingMessage,
  status: string,
  headers = "",
): void {
  const upgrade = status === "101"
    ? "Connection: Upgrade\r\nUpgrade: h3\r\n"
    : "";
  request.socket.write(
    `HTTP/1.1 ${status} Odd\r\nX-Id: ${request.headers["x-id"]}\r\n` +
      `X-Stamp: s\r\n${upgrade}${headers}Content-Length: 5\r\n\r\nwhole`,
  );
}

/** Answers with an odd status, soundly but for that, once; then as `next` does. */
function oddOnce(
  status: string,
  next: Behaviour = respond,
  headers = "",
): Behaviour {
  let isFirst = true;
  return (request, response) => {
    if (!isFirst) return next(request, response);
    isFirst = false;
    writeOdd(request, status, headers);
  };
}

test("the statuses from 200 to 599 can end an exchange", () => {
  for (const status of [200, 299, 304, 404, 599]) {
    assert.equal(isFinalStatus(status), true);
  }
  for (const status of [undefined, 0, 99, 100, 199, 600, 999, NaN, 200.5]) {
    assert.equal(isFinalStatus(status), false);
  }
});

for (const status of ODD_STATUSES) {
  // Guards against callers that get a status which is none as an answer, or a closed connection.
  test(`an idempotent call whose upstream answers with ${status} gets the response of another one`, async () => {
    await withUpstreams([oddOnce(status), respond], async (setup) => {
      const response = await send(setup);
      assert.ok("status" in response);
      assert.equal(String(response.body), "whole");
      assert.deepEqual(setup.reached, [1, 1]);
    });
  });

  // Guards against a second run after bytes that say nothing, whatever their headers claim.
  test(`a call that runs once at most fails after ${status}, is not sent again, and may have run`, async () => {
    for (const kind of ["once", "stream"] as const) {
      const odd = oddOnce(status, respond, "X-Not-Run: 1\r\n");
      await withUpstreams([odd, respond], async (setup) => {
        const response = await send(setup, { kind });
        assert.ok("kind" in response, kind);
        assert.equal(response.kind, "upstream_failed");
        assert.notEqual(response.ran, "no");
        assert.deepEqual(setup.reached, [1, 0]);
      });
    }
  });

  test(`a stream that may be resumed goes on at another upstream after ${status}, at its start and within`, async () => {
    const whole = streamUntil(Infinity);
    await withUpstreams([oddOnce(status), whole], async (setup) => {
      const response = await send(setup, STREAM);
      assert.ok("status" in response);
      assert.match(await readAll(response), /id: 0[^]*id: 3/);
    });
    const behaviours = [streamUntil(2), oddOnce(status), whole];
    await withUpstreams(behaviours, async (setup) => {
      const response = await send(setup, { ...STREAM, maximumAttempts: 3 });
      assert.ok("status" in response);
      const text = await readAll(response);
      const ids = [...text.matchAll(/^id: (\d)/gm)].map(([, id]) => id);
      assert.deepEqual(ids, ["0", "1", "2", "3"]);
    });
  });

  // Reports, orders, identity checks, runs of items and scoring calls use this client.
  test(`a call to an upstream that answers with ${status} has no response, and its connection is closed`, async () => {
    await withUpstreams([oddOnce(status)], async ({ upstreams, reached }) => {
      const [upstream] = upstreams;
      assert.ok(upstream !== undefined);
      const http = new UpstreamHttp();
      const call = () =>
        http.open({
          address: upstream.address,
          method: "POST",
          target: "/",
          headers: ["Host", "h", "X-Id", "r1"],
          body: new Uint8Array(),
          signal: AbortSignal.timeout(TIMEOUT_MS),
          reuseConnection: true,
        });
      const first = await call();
      assert.ok(first.err);
      assert.equal(first.val.mayHaveRun, true);
      assert.equal((await call()).ok, true);
      assert.deepEqual(reached, [2]);
      http.close();
    });
  });

  test(`the client of engines has no response of an engine that answers with ${status}`, async () => {
    await withUpstreams([oddOnce(status)], async ({ upstreams }) => {
      const [upstream] = upstreams;
      assert.ok(upstream !== undefined);
      const clock = new SystemClock();
      const client = new UpstreamClient({ sourceHost: "127.0.0.1", clock });
      const response = await client.call({
        address: upstream.address,
        method: "GET",
        path: "/",
        deadlineMs: clock.nowMs() + TIMEOUT_MS,
        maximumBytes: 1_024,
      });
      assert.ok(response.err);
      client.close();
    });
  });
}
