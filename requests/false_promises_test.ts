import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Behaviour,
  readAll,
  reject,
  respond,
  send,
  STREAM,
  streamUntil,
  withUpstreams,
} from "./forwarder_test_support.ts";

/** Runs the call and responds with a status, without saying that it did not run. */
function runAndRespond(status: number): Behaviour {
  return (request, response) => {
    response.setHeader("X-Id", String(request.headers["x-id"]));
    response.setHeader("X-Stamp", "s");
    response.writeHead(status, { "Retry-After": "1" }).end("not confirmed");
  };
}

for (const status of [408, 421, 429, 503]) {
  // Guards against callers that send a call again since a status promises that it has not run.
  test(`a call that ran once and was answered ${status} fails with a status that promises nothing`, async () => {
    for (const kind of ["once", "stream"] as const) {
      const upstreams = [runAndRespond(status), respond];
      await withUpstreams(upstreams, async (setup) => {
        const response = await send(setup, { kind });
        assert.ok("kind" in response, kind);
        assert.equal(response.kind, "upstream_failed");
        assert.equal(response.ran, "unknown");
        assert.equal(response.retryAfterMs, undefined);
        assert.deepEqual(setup.reached, [1, 0]);
      });
    }
  });

  test(`a stream that may be resumed goes on at another upstream after an answer of ${status}`, async () => {
    const upstreams = [runAndRespond(status), streamUntil(Infinity)];
    await withUpstreams(upstreams, async (setup) => {
      const response = await send(setup, STREAM);
      assert.ok("status" in response);
      assert.match(await readAll(response), /id: 0[^]*id: 3/);
    });
  });
}

test("a call that runs once is answered with the upstream's own status if that promises nothing", async () => {
  for (const status of [400, 404, 500, 502, 504]) {
    await withUpstreams([runAndRespond(status), respond], async (setup) => {
      const response = await send(setup, { kind: "once" });
      assert.ok("status" in response);
      assert.equal(response.status, status);
      assert.equal(response.headers["X-Stamp"], "s");
    });
  }
});

test("a call that no upstream ran is still sent on, and refused with a promise if none runs it", async () => {
  await withUpstreams([reject, respond], async (setup) => {
    const response = await send(setup, { kind: "once" });
    assert.ok("status" in response);
    assert.equal(response.status, 200);
  });
  await withUpstreams([reject, reject], async (setup) => {
    const response = await send(setup, { kind: "once" });
    assert.ok("kind" in response);
    assert.equal(response.ran, "no");
  });
});
