import assert from "node:assert/strict";
import { test } from "node:test";
import type { Failure, HttpResponse } from "#core";
import {
  answerAnotherCall,
  type Behaviour,
  readAll,
  reject,
  rejectAndLeave,
  reset,
  respond,
  respondAndLeave,
  return500,
  send,
  stayUnresponsive,
  streamUntil,
  truncateBody,
  untilReached,
  withUpstreams,
} from "./forwarder_test_support.ts";

test("the complete response of an upstream is forwarded without its hop-by-hop headers", async () => {
  await withUpstreams([respond], async (setup) => {
    const response = await send(setup);
    assert.ok("status" in response);
    assert.equal(response.status, 200);
    assert.equal(String(response.body), "whole");
    assert.equal(response.headers["X-Stamp"], "s");
    assert.equal(response.headers["Connection"], undefined);
  });
});

test("an idempotent call is retried on another upstream after a rejection, a reset, a server error, or a truncated or foreign response", async () => {
  for (
    const behaviour of [
      reject,
      reset,
      truncateBody,
      answerAnotherCall,
      return500,
    ]
  ) {
    await withUpstreams([behaviour, respond], async (setup) => {
      const response = await send(setup);
      assert.ok("status" in response, behaviour.toString());
      assert.equal(String(response.body), "whole");
      assert.deepEqual(setup.reached, [1, 1]);
    });
  }
});

test("a call without a response is hedged on a second upstream, and the first attempt is cancelled", async () => {
  await withUpstreams([stayUnresponsive, respond], async (setup) => {
    const response = send(setup);
    await untilReached(setup, 0);
    assert.deepEqual(setup.reached, [1, 0]);
    setup.clock.advance(90);
    const settled = await response;
    assert.ok("status" in settled);
    assert.deepEqual(setup.reached, [1, 1]);
  });
});

test("a call is sent to no more upstreams than its route allows", async () => {
  await withUpstreams([reset, reset, respond], async (setup) => {
    const response = await send(setup);
    assert.ok("kind" in response);
    assert.equal(response.kind, "upstream_failed");
    assert.equal(response.ran, "unknown");
    assert.equal(setup.reached.reduce((sum, each) => sum + each), 2);
  });
});

test("a call that may run only once is retried only after a rejection", async () => {
  await withUpstreams([reject, respond], async (setup) => {
    const response = await send(setup, { kind: "once" });
    assert.ok("status" in response);
    assert.deepEqual(setup.reached, [1, 1]);
  });
  for (const behaviour of [reset, truncateBody, answerAnotherCall]) {
    await withUpstreams([behaviour, respond], async (setup) => {
      const response = await send(setup, { kind: "once" });
      assert.ok("kind" in response, behaviour.toString());
      assert.equal(response.ran, "unknown");
      assert.deepEqual(setup.reached, [1, 0]);
    });
  }
});

test("a rejection by all upstreams reports that the call did not run and when to retry", async () => {
  await withUpstreams([reject, reject], async (setup) => {
    const response = await send(setup);
    assert.ok("kind" in response);
    assert.equal(response.kind, "upstream_refused");
    assert.equal(response.ran, "no");
    assert.ok((response.retryAfterMs ?? 0) > 0);
    const [event] = setup.events.records();
    assert.deepEqual(event?.fields["tried"], ["u0", "u1"]);
  });
});

test("an upstream that states in a response or a rejection that it is leaving gets no further calls", async () => {
  for (const leaves of [respondAndLeave, rejectAndLeave]) {
    await withUpstreams([leaves, respond], async (setup) => {
      for (let calls = 0; calls < 3; calls += 1) {
        const response = await send(setup) as HttpResponse;
        assert.equal(response.status, 200);
      }
      assert.equal(setup.reached[0], 1);
    });
  }
});

test("calls to a service whose only upstream is leaving are rejected as not run, with a time to retry", async () => {
  await withUpstreams([respondAndLeave], async (setup) => {
    await send(setup);
    const failure = await send(setup) as Failure;
    assert.equal(failure.kind, "no_upstream");
    assert.equal(failure.ran, "no");
    assert.ok((failure.retryAfterMs ?? 0) > 0);
    assert.equal(setup.reached[0], 1);
  });
});

test("an upstream's error response is forwarded unchanged when there is no other response", async () => {
  await withUpstreams([return500], async (setup) => {
    const response = await send(setup);
    assert.ok("status" in response);
    assert.equal(response.status, 500);
    assert.equal(String(response.body), "sorry");
  });
});

test("a call is abandoned at the route's timeout and cancelled at the upstream", async () => {
  let closed: Promise<void> | undefined;
  const unresponsive: Behaviour = (request) => {
    closed = new Promise((resolve) => request.socket.once("close", resolve));
  };
  await withUpstreams([unresponsive], async (setup) => {
    const response = send(setup, { timeoutMs: 1_000 });
    await untilReached(setup, 0);
    setup.clock.advance(1_060);
    const settled = await response;
    assert.ok("kind" in settled);
    assert.equal(settled.kind, "deadline_passed");
    await closed;
  });
});

test("an upstream's deadline is bounded by the route's timeout, and its own timeout response is forwarded", async () => {
  let release = (): void => {};
  const stops: Behaviour = (request, response) => {
    response.setHeader("X-Id", String(request.headers["x-id"]));
    response.setHeader("X-Stamp", String(request.headers["x-left"]));
    release = () => response.writeHead(504).end("late");
  };
  await withUpstreams([stops, respond], async (setup) => {
    const response = send(setup, { timeoutMs: 1_000, objectiveMs: 5_000 });
    await untilReached(setup, 0);
    setup.clock.advance(1_000);
    release();
    const settled = await response;
    assert.ok("status" in settled);
    assert.equal(settled.status, 504);
    assert.equal(settled.headers["X-Stamp"], "1000");
    assert.deepEqual(setup.reached, [1, 0]);
  });
});

test("a caller that disconnects cancels its call at the upstream immediately", async () => {
  let closed: Promise<void> | undefined;
  const unresponsive: Behaviour = (request) => {
    closed = new Promise((resolve) => request.socket.once("close", resolve));
  };
  await withUpstreams([unresponsive, respond], async (setup) => {
    const abortController = new AbortController();
    const response = send(setup, {}, abortController.signal);
    await untilReached(setup, 0);
    abortController.abort();
    await closed;
    const settled = await response;
    assert.ok("kind" in settled);
    assert.equal(settled.kind, "cancelled");
    setup.clock.advance(500);
    assert.deepEqual(setup.reached, [1, 0]);
  });
});

test("a resumable stream continues on another upstream after its last complete event", async () => {
  await withUpstreams([streamUntil(2), streamUntil(-1)], async (setup) => {
    const response = await send(setup, { kind: "stream", resumable: true });
    assert.ok("status" in response);
    const text = await readAll(response);
    const ids = [...text.matchAll(/id: (\d)/g)].map((found) => found[1]);
    assert.deepEqual(ids, ["0", "1", "2", "3"]);
  });
});

test("a stream that can't be resumed is aborted instead of ending as if it were complete", async () => {
  await withUpstreams([streamUntil(2), streamUntil(-1)], async (setup) => {
    const response = await send(setup, { kind: "stream", resumable: false });
    assert.ok("status" in response);
    await assert.rejects(readAll(response));
    assert.deepEqual(setup.reached, [1, 0]);
  });
});
