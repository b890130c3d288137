import assert from "node:assert/strict";
import { Server } from "node:net";
import process from "node:process";
import { test } from "node:test";
import {
  fail,
  type HttpRoute,
  jsonResponse,
  listenOn,
  MemoryEventLog,
} from "#core";
import { HTTP_EVENTS } from "./events.ts";
import type { HttpServer } from "./http_server.ts";
import {
  ECHO_ROUTE,
  exchange,
  parseResponse,
  RawClient,
  withServer,
} from "./http_testing.ts";

function route(
  pattern: string,
  handle: HttpRoute["handle"],
): HttpRoute {
  return { method: "GET", pattern, name: pattern, handle };
}

test("a route receives the method, decoded parameters, the query and the complete body", async () => {
  await withServer({}, async ({ address }) => {
    const raw = await exchange(
      address,
      "PUT /echo/a%20b?x=1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
        "Content-Length: 4\r\n\r\nbody",
    );
    assert.deepEqual(parseResponse(raw), {
      status: 200,
      body: { method: "PUT", name: "a b", query: "x=1", body: "body" },
    });
  });
});

test("a failure is returned with its status, kind, hint, Cicadafield-Ran, and Retry-After rounded up to seconds", async () => {
  const rejecting = route("/x", () =>
    Promise.resolve(
      fail("too_many_requests", "queue full", {
        retryAfterMs: 1_200,
        field: "class",
      }),
    ));
  await withServer({ routes: [rejecting] }, async ({ address }) => {
    const raw = await exchange(
      address,
      "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    assert.match(raw, /\r\nCicadafield-Ran: no\r\n/);
    assert.match(raw, /\r\nRetry-After: 2\r\n/);
    assert.deepEqual(parseResponse(raw), {
      status: 429,
      body: {
        kind: "too_many_requests",
        message: "queue full",
        hint: "Retry after the given time.",
        ran: "no",
        field: "class",
      },
    });
  });
});

test("an unknown path returns 404, and a known path with another method 405 with Allow", async () => {
  const routes = [
    route("/v1/status", () => Promise.resolve(jsonResponse(200, {}))),
  ];
  await withServer({ routes }, async ({ address }) => {
    const unknown = parseResponse(
      await exchange(
        address,
        "GET /v2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
      ),
    );
    assert.equal(unknown.status, 404);
    assert.equal(unknown.body.kind, "unknown_route");
    const raw = await exchange(
      address,
      "PUT /v1/status HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    assert.match(raw, /\r\nAllow: GET\r\n/);
    assert.equal(parseResponse(raw).status, 405);
    assert.equal(parseResponse(raw).body.kind, "method_not_allowed");
  });
});

test("the wildcard part of a path is passed on as sent", async () => {
  const wildcard = route(
    "/services/:service/*path",
    (call) => Promise.resolve(jsonResponse(200, call.parameters)),
  );
  await withServer({ routes: [wildcard] }, async ({ address }) => {
    const raw = await exchange(
      address,
      "GET /services/job%2Fcards/a%2Fb/c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    assert.deepEqual(parseResponse(raw).body, {
      service: "job/cards",
      path: "a%2Fb/c",
    });
  });
});

test("a handler that throws causes a 500 response with an ID that is also logged, and the server continues", async () => {
  const broken = route("/broken", () => Promise.reject(new Error("a fault")));
  const routes = [broken, ECHO_ROUTE];
  await withServer({ routes }, async ({ address, events }) => {
    const raw = await exchange(
      address,
      "GET /broken HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    const { status, body } = parseResponse(raw);
    assert.equal(status, 500);
    assert.equal(body.ran, "unknown");
    const logged = events.records().find((each) => each.event.code === 1804);
    assert.equal(logged?.fields.request, body.detail);
    assert.match(String(logged?.fields.stack), /a fault/);
    const next = await exchange(
      address,
      "GET /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    assert.equal(parseResponse(next).status, 200);
  });
});

test("a streamed body ends with the last chunk if complete, and without it if its source throws", async () => {
  async function* source(breaks: boolean): AsyncGenerator<string> {
    yield "one";
    await Promise.resolve();
    if (breaks) throw new Error("the upstream broke off");
    yield "two";
  }
  const streamed = route("/stream/:breaks", (call) =>
    Promise.resolve({
      status: 200,
      headers: {},
      body: source(call.parameters.breaks === "yes"),
    }));
  await withServer({ routes: [streamed] }, async ({ address, events }) => {
    const complete = await exchange(
      address,
      "GET /stream/no HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    assert.match(complete, /3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n$/);
    const truncated = await exchange(
      address,
      "GET /stream/yes HTTP/1.1\r\nHost: h\r\n\r\n",
    );
    assert.doesNotMatch(truncated, /\r\n0\r\n\r\n$/);
    assert.equal(
      events.records().some((each) => each.event.code === 1805),
      true,
    );
  });
});

test("a client that reads slowly applies back pressure to the source of a streamed response", async () => {
  const chunk = "x".repeat(64 * 1_024);
  const totalChunks = 400;
  let producedChunks = 0;
  let producedAtPause = 0;
  async function* source(): AsyncGenerator<string> {
    while (producedChunks < totalChunks) {
      producedChunks += 1;
      yield chunk;
      await Promise.resolve();
    }
  }
  const streamed = route(
    "/stream",
    () => Promise.resolve({ status: 200, headers: {}, body: source() }),
  );
  await withServer({ routes: [streamed] }, async ({ address }) => {
    const client = new RawClient(address);
    client.send("GET /stream HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    await client.until(/xx/);
    client.socket.pause();
    let previous = -1;
    while (previous !== producedChunks) {
      previous = producedChunks;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    producedAtPause = producedChunks;
    assert.ok(producedAtPause < totalChunks, "the source was not held back");
    client.socket.resume();
    const raw = await client.untilClosed();
    assert.ok(raw.length >= totalChunks * chunk.length);
  });
});

test("a handler's signal is aborted when the client disconnects, but not after a complete response", async () => {
  const signals: AbortSignal[] = [];
  let entered = (): void => {};
  const waiting = new Promise<void>((resolve) => {
    entered = resolve;
  });
  const hang = route("/hang", (call) => {
    signals.push(call.signal);
    entered();
    return new Promise((resolve) => {
      call.signal.addEventListener(
        "abort",
        () => resolve(fail("cancelled", "gone")),
      );
    });
  });
  const quick = route("/quick", (call) => {
    signals.push(call.signal);
    return Promise.resolve(jsonResponse(200, {}));
  });
  await withServer({ routes: [quick, hang] }, async ({ address }) => {
    await exchange(
      address,
      "GET /quick HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    const client = new RawClient(address);
    client.send("GET /hang HTTP/1.1\r\nHost: h\r\n\r\n");
    await waiting;
    const signal = signals[1];
    assert.ok(signal !== undefined && !signal.aborted);
    const aborted = new Promise((resolve) =>
      signal.addEventListener("abort", resolve)
    );
    client.socket.destroy();
    await aborted;
    assert.equal(signals[0]?.aborted, false);
  });
});

test("pipelined requests on one connection are handled one at a time, in order", async () => {
  const order: string[] = [];
  const slow = route("/slow/:name", async (call) => {
    order.push(`start ${call.parameters.name}`);
    await new Promise((resolve) => setImmediate(resolve));
    order.push(`end ${call.parameters.name}`);
    return jsonResponse(200, { name: call.parameters.name });
  });
  await withServer({ routes: [slow] }, async ({ address }) => {
    await exchange(
      address,
      "GET /slow/a HTTP/1.1\r\nHost: h\r\n\r\n" +
        "GET /slow/b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    assert.deepEqual(order, ["start a", "end a", "start b", "end b"]);
  });
});

test("each route has a latency histogram and a counter by status", async () => {
  await withServer({}, async ({ address, metrics }) => {
    await exchange(
      address,
      "GET /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    const text = await metrics.render();
    assert.match(text, /cicadafield_http_seconds_count\{route="echo"\} 1/);
    assert.match(
      text,
      /cicadafield_http_answers_total\{route="echo",status="200"\} 1/,
    );
  });
});

test("unparsable input after a request never replaces the response to that request", async () => {
  let release = (): void => {};
  let entered = (): void => {};
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  const running = new Promise<void>((resolve) => {
    entered = resolve;
  });
  const held = route("/held", async () => {
    entered();
    await released;
    return jsonResponse(200, { saved: true });
  });
  const unparsableInputs = [
    "nonsense\r\n\r\n",
    "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /held HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
  ];
  for (const text of unparsableInputs) {
    await withServer({ routes: [held] }, async ({ address }) => {
      const client = new RawClient(address);
      client.send(`GET /held HTTP/1.1\r\nHost: h\r\n\r\n${text}`);
      await running;
      await new Promise((resolve) => setImmediate(resolve));
      release();
      const raw = await client.untilClosed();
      assert.match(raw, /^HTTP\/1\.1 200/, text);
      assert.match(raw, /"saved":true/);
    });
  }
});

// Guards against callers whose connection is closed without a response because its head can't be written.
test("a response whose head can't be written is replaced by 502, and the connection goes on", async () => {
  const bodies: (string | AsyncIterable<string>)[] = ["x", emptyStream()];
  for (const body of bodies) {
    for (const status of [0, 99, 199, 600, 999, 1_000, NaN, 200]) {
      const headers: Record<string, string> = { "X-Stamp": "s" };
      if (status === 200) headers["X-Odd"] = "a\u0001b";
      const odd = route("/odd", () => {
        return Promise.resolve({ status, headers, body });
      });
      const routes = [odd, ECHO_ROUTE];
      await withServer({ routes }, async ({ address, events }) => {
        const raw = await exchange(
          address,
          "GET /odd HTTP/1.1\r\nHost: h\r\n\r\n" +
            "PUT /echo/b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        );
        const [first, second] = raw.split(/(?=HTTP\/1\.1 200 OK)/);
        assert.match(first ?? "", /^HTTP\/1\.1 502 /);
        assert.doesNotMatch(first ?? "", /X-Stamp/);
        assert.match(second ?? "", /^HTTP\/1\.1 200 OK/);
        const reported = events.records().filter(({ event }) =>
          event.code === HTTP_EVENTS.responseUnwritable.code
        );
        assert.equal(reported.length, 1);
      });
    }
  }
});

async function* emptyStream(): AsyncGenerator<string> {}

// Guards against a client that ends the process by leaving before a response that is written without a response object.
test("clients that reset their connections after CONNECT, an upgrade or garbage end no process", async () => {
  const uncaught: unknown[] = [];
  const record = (error: unknown): void => {
    uncaught.push(error);
  };
  process.on("uncaughtException", record);
  try {
    await withServer({}, async ({ address, server }) => {
      const inputs = [
        "CONNECT h:443 HTTP/1.1\r\nHost: h\r\n\r\n",
        "CONNECT h:443 HTTP/1.1\r\nHost: h\r\n\r\nmore",
        "GET /echo/a HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\n" +
        "Upgrade: x\r\n\r\nmore",
        "GARBAGE\r\n\r\n",
        "PUT /echo/a HTTP/1.1\r\nHost: h\r\n\r\nCONNECT h:1 HTTP/1.1\r\n\r\n",
      ];
      for (let turn = 0; turn < 20; turn += 1) {
        for (const input of inputs) {
          const client = new RawClient(address);
          await new Promise((resolve) => client.socket.write(input, resolve));
          client.socket.resetAndDestroy();
        }
      }
      await untilNoConnection(server);
      const raw = await exchange(
        address,
        "PUT /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
      );
      assert.match(raw, /^HTTP\/1\.1 200 OK/);
    });
  } finally {
    process.off("uncaughtException", record);
  }
  assert.deepEqual(uncaught, []);
});

async function untilNoConnection(server: HttpServer): Promise<void> {
  while (server.connectionCount > 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

test("an error of the listening socket is logged and ends nothing", async () => {
  const events = new MemoryEventLog();
  const server = new Server();
  await listenOn(server, { host: "127.3.0.1", port: 0 }, ({ message }) => {
    events.emit(HTTP_EVENTS.acceptFailed, { reason: message });
  });
  server.emit("error", new Error("no buffer space"));
  assert.equal(events.records().length, 1);
  assert.equal(server.listening, true);
  server.close();
  const foreign = { host: "192.0.2.1", port: 0 };
  await assert.rejects(listenOn(new Server(), foreign, () => {}));
});
