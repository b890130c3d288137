import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type HttpRoute,
  jsonResponse,
  type Milliseconds,
  MINUTE_MS,
  VirtualClock,
} from "#core";
import { ECHO_ROUTE, RawClient, withServer } from "./http_testing.ts";

const NOTICE_MS: Milliseconds = 3_000;
const GRACE_MS: Milliseconds = 7_000;
const HOUR_MS: Milliseconds = 60 * MINUTE_MS;

/** A route whose responses are delayed until `release` is called. */
class DelayedRoute {
  #release = (): void => {};
  #entered = (): void => {};
  readonly entered = new Promise<void>((resolve) => {
    this.#entered = resolve;
  });
  readonly released = new Promise<void>((resolve) => {
    this.#release = resolve;
  });
  readonly route: HttpRoute = {
    method: "GET",
    pattern: "/held",
    name: "held",
    handle: async () => {
      this.#entered();
      await this.released;
      return jsonResponse(200, { held: true });
    },
  };

  release(): void {
    this.#release();
  }
}

test("a drain is visible at once, serves new connections during the notice time and rejects them afterwards", async () => {
  const clock = new VirtualClock();
  await withServer({ clock }, async ({ server, address }) => {
    const drained = server.drain(NOTICE_MS);
    assert.equal(server.draining, true);
    const during = new RawClient(address);
    during.send("GET /echo/a HTTP/1.1\r\nHost: h\r\n\r\n");
    const raw = await during.untilClosed();
    assert.match(raw, /^HTTP\/1.1 200/);
    assert.match(raw, /\r\nConnection: close\r\n/);
    await clock.advanceAsync(NOTICE_MS);
    await drained;
    const late = new RawClient(address);
    late.send("GET /echo/a HTTP/1.1\r\nHost: h\r\n\r\n");
    assert.equal(await late.untilClosed(), "");
  });
});

test("a drain waits for the complete response to each request that arrived", async () => {
  const clock = new VirtualClock();
  const held = new DelayedRoute();
  const routes = [held.route, ECHO_ROUTE];
  await withServer({ clock, routes }, async ({ server, address }) => {
    const client = new RawClient(address);
    client.send(
      "GET /held HTTP/1.1\r\nHost: h\r\n\r\nGET /echo/next HTTP/1.1\r\nHost: h\r\n\r\n",
    );
    await held.entered;
    let done = false;
    const drained = server.drain(NOTICE_MS).then(() => {
      done = true;
    });
    await clock.advanceAsync(NOTICE_MS);
    assert.equal(done, false);
    held.release();
    const raw = await client.untilClosed();
    assert.match(raw, /"held":true/);
    assert.match(raw, /"name":"next"/);
    await drained;
  });
});

test("a connection that is idle between requests does not delay a drain", async () => {
  const clock = new VirtualClock();
  await withServer({ clock }, async ({ server, address }) => {
    const client = new RawClient(address);
    client.send("GET /echo/a HTTP/1.1\r\nHost: h\r\n\r\n");
    await client.until(/\}\n/);
    const drained = server.drain(NOTICE_MS);
    await clock.advanceAsync(NOTICE_MS);
    await drained;
    assert.doesNotMatch(client.received, /Connection: close/);
  });
});

test("a large response started before a drain is sent completely before its connection is closed", async () => {
  const size = 24 * 1_048_576;
  const large: HttpRoute = {
    method: "GET",
    pattern: "/large",
    name: "large",
    handle: () =>
      Promise.resolve({
        status: 200,
        headers: {},
        body: new Uint8Array(size).fill(120),
      }),
  };
  const clock = new VirtualClock();
  const limits = { keepAliveMs: HOUR_MS };
  const options = { clock, routes: [large], limits };
  await withServer(options, async ({ server, address }) => {
    const client = new RawClient(address);
    client.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    await client.until(/xx/);
    client.socket.pause();
    const drained = server.drain(NOTICE_MS);
    await clock.advanceAsync(NOTICE_MS);
    client.socket.resume();
    await drained;
    const raw = await client.untilClosed();
    const head = raw.indexOf("\r\n\r\n") + 4;
    assert.equal(raw.length - head, size);
  });
});

test("a client that stops halfway through a request is rejected with 408 and does not delay a drain", async () => {
  const clock = new VirtualClock();
  const limits = { headersTimeoutMs: 40, requestTimeoutMs: 80 };
  await withServer({ clock, limits }, async ({ server, address }) => {
    const client = new RawClient(address);
    await new Promise((resolve) => client.socket.once("connect", resolve));
    const drained = server.drain(NOTICE_MS);
    await clock.advanceAsync(0);
    client.send("GET /echo/a HTTP/1.1\r\nHost");
    await clock.advanceAsync(NOTICE_MS);
    assert.match(await client.untilClosed(), /^HTTP\/1.1 408/);
    await drained;
  });
});

test("requests in progress at the end of the shutdown grace get a response, and their work is cancelled", async () => {
  const clock = new VirtualClock();
  const signals: AbortSignal[] = [];
  const endless: HttpRoute = {
    method: "ANY",
    pattern: "/endless",
    name: "endless",
    handle: (call) => {
      signals.push(call.signal);
      return new Promise(() => {});
    },
  };
  const options = { clock, routes: [endless] };
  await withServer(options, async ({ server, address }) => {
    const waiting = new RawClient(address);
    waiting.send("GET /endless HTTP/1.1\r\nHost: h\r\n\r\n");
    const sending = new RawClient(address);
    sending.send(
      "POST /endless HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\npart",
    );
    while (signals.length === 0 || server.connectionCount < 2) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    const drained = server.drain(NOTICE_MS, GRACE_MS);
    await clock.advanceAsync(GRACE_MS - 1);
    assert.equal(waiting.received, "");
    await clock.advanceAsync(1);
    const answered = await waiting.untilClosed();
    assert.match(answered, /^HTTP\/1.1 504/);
    assert.match(answered, /\r\nConnection: close\r\n/);
    assert.equal(signals[0]?.aborted, true);
    // Nothing of it can have run, since its body never came.
    assert.match(await sending.until(/\r\n\r\n/), /^HTTP\/1.1 503/);
    sending.socket.destroy();
    await clock.advanceAsync(GRACE_MS);
    await drained;
  });
});

test("a request that comes late in the shutdown grace is told by when it must end, and an earlier one is not", async () => {
  const clock = new VirtualClock();
  const ends: (Milliseconds | undefined)[] = [];
  const route: HttpRoute = {
    method: "GET",
    pattern: "/ends",
    name: "ends",
    handle: (call) => {
      ends.push(call.endsByMs);
      return Promise.resolve(jsonResponse(200, {}));
    },
  };
  await withServer({ clock, routes: [route] }, async ({ server, address }) => {
    const request = "GET /ends HTTP/1.1\r\nHost: h\r\n\r\n";
    const early = new RawClient(address);
    const late = new RawClient(address);
    while (server.connectionCount < 2) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    const startMs = clock.nowMs();
    const drained = server.drain(NOTICE_MS, GRACE_MS);
    early.send(request);
    await early.untilClosed();
    await clock.advanceAsync(NOTICE_MS);
    late.send(request);
    await late.untilClosed();
    assert.deepEqual(ends, [undefined, startMs + GRACE_MS]);
    await drained;
  });
});
