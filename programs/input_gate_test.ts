import assert from "node:assert/strict";
import { test } from "node:test";
import { ByteBudget, type HttpRoute, jsonResponse, MEBIBYTE } from "#core";
import {
  ECHO_ROUTE,
  exchange,
  parseResponse,
  RawClient,
  withServer,
} from "./http_testing.ts";

const GET = "GET /echo/a HTTP/1.1\r\nHost: h\r\n\r\n";
const LAST = "GET /echo/z HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

function statusesOf(raw: string): readonly string[] {
  return [...raw.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => match[1] ?? "");
}

/** A route whose responses wait until the test lets them go. */
function heldRoute(): {
  readonly route: HttpRoute;
  readonly open: () => void;
  started: number;
} {
  let open = (): void => {};
  const opened = new Promise<void>((resolve) => open = resolve);
  const held = {
    started: 0,
    open: () => open(),
    route: {
      ...ECHO_ROUTE,
      handle: async () => {
        held.started += 1;
        await opened;
        return jsonResponse(200, { held: true });
      },
    },
  };
  return held;
}

// Guards against pipelined requests that all become objects before the first is answered.
test("a connection sends no further request while some are unanswered, and then all are answered in order", async () => {
  const held = heldRoute();
  const limits = { maximumUnansweredRequests: 4 };
  await withServer({ limits, routes: [held.route] }, async (running) => {
    const client = new RawClient(running.address);
    client.send(GET.repeat(30) + LAST);
    while (held.started === 0) await new Promise((next) => setImmediate(next));
    const drained = running.server.drain(0);
    const draining = running.events.records()
      .find((each) => each.event.text.includes("is draining"));
    assert.equal(draining?.fields["requests"], 4);
    held.open();
    const raw = await client.untilClosed();
    assert.deepEqual(statusesOf(raw), Array.from({ length: 31 }, () => "200"));
    await drained;
  });
});

// Guards against input that waits for responses on many connections and fills the memory.
test("connections whose waiting input does not fit into the memory are closed after their pending responses", async () => {
  const held = heldRoute();
  const httpBudget = new ByteBudget({
    maximumBytes: 300_000,
    maximumBodyBytes: 0,
  });
  const limits = { maximumUnansweredRequests: 4 };
  const padded = GET.replace("\r\n\r\n", `\r\nf: ${"x".repeat(1_500)}\r\n\r\n`);
  const options = { limits, httpBudget, routes: [held.route] };
  await withServer(options, async ({ address }) => {
    const clients = Array.from({ length: 12 }, () => new RawClient(address));
    for (const client of clients) client.send(padded.repeat(20) + LAST);
    while (held.started < 4) {
      await new Promise((next) => setImmediate(next));
    }
    for (let turn = 0; turn < 200; turn += 1) {
      assert.ok(httpBudget.reservedBytes <= 300_000);
      await new Promise((next) => setImmediate(next));
    }
    held.open();
    const counts = await Promise.all(
      clients.map(async (client) =>
        statusesOf(await client.untilClosed()).length
      ),
    );
    assert.ok(counts.includes(21), counts.join(" "));
    assert.ok(counts.some((count) => count < 21), counts.join(" "));
    assert.equal(httpBudget.reservedBytes, 0);
  });
});

// Guards against bodies that are taken for heads, or heads for bodies, where input is cut into pieces.
test("bodies with the end of a head in them, announced or in chunks, arrive whole between pipelined requests", async () => {
  const body = "a\r\n\r\nGET /echo/no HTTP/1.1\r\n\r\n".repeat(400);
  const post = "POST /echo/b HTTP/1.1\r\nHost: h\r\n";
  const announced = `${post}Content-Length: ${body.length}\r\n\r\n${body}`;
  const size = body.length.toString(16);
  const chunked =
    `${post}Transfer-Encoding: chunked\r\n\r\n${size}\r\n${body}\r\n0\r\n\r\n`;
  await withServer({}, async ({ address }) => {
    for (const cut of [1, 7, 1_000, 100_000]) {
      const client = new RawClient(address);
      const text = GET + announced + GET + chunked + LAST;
      for (let at = 0; at < text.length; at += cut) {
        client.send(text.slice(at, at + cut));
      }
      const raw = await client.untilClosed();
      assert.deepEqual(statusesOf(raw), ["200", "200", "200", "200", "200"]);
      const bodies = raw.split("\r\n\r\n").map((part) =>
        /^\{.*\}/.exec(part)?.[0]
      ).filter((part) => part !== undefined).map((part) => JSON.parse(part));
      assert.deepEqual(
        bodies.map((each) => each.body),
        ["", body, "", body, ""],
      );
    }
  });
});

const CHUNKED_HEAD =
  "POST /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n";

// Guards against a legal request that is refused in calm for the number of its chunks.
test("a body in very many chunks of any size is served in calm, one after the other", async () => {
  await withServer({}, async ({ address }) => {
    for (const chunkBytes of [1, 4, 16]) {
      const piece = `${chunkBytes.toString(16)}\r\n${
        "x".repeat(chunkBytes)
      }\r\n`;
      for (let times = 0; times < 3; times += 1) {
        const raw = await exchange(
          address,
          `${CHUNKED_HEAD}${piece.repeat(20_000)}0\r\n\r\n`,
        );
        const { status, body } = parseResponse(raw);
        assert.equal(status, 200);
        assert.equal(String(body.body).length, 20_000 * chunkBytes);
      }
    }
  });
});

// Guards against clients that together keep the processor busy with chunks that hold next to nothing.
test("of bodies in very many chunks of one byte a third one is rejected as not run, and others are served", async () => {
  const many = "1\r\nx\r\n".repeat(5_000);
  const whole = `${CHUNKED_HEAD}${many}0\r\n\r\n`;
  await withServer({}, async ({ address }) => {
    const unfinished = [new RawClient(address), new RawClient(address)];
    for (const client of unfinished) client.send(`${CHUNKED_HEAD}${many}`);
    // What the server has read of the first two says nothing to their clients.
    let rejected = parseResponse(await exchange(address, whole));
    for (let times = 0; times < 100 && rejected.status === 200; times += 1) {
      rejected = parseResponse(await exchange(address, whole));
    }
    assert.equal(rejected.status, 503);
    assert.equal(rejected.body.ran, "no");
    const few = `${CHUNKED_HEAD}${"1\r\nx\r\n".repeat(4_000)}0\r\n\r\n`;
    assert.equal(parseResponse(await exchange(address, few)).status, 200);
    const larger = `10\r\n${"x".repeat(16)}\r\n`.repeat(20_000);
    const served = `${CHUNKED_HEAD}${larger}0\r\n\r\n`;
    assert.equal(parseResponse(await exchange(address, served)).status, 200);
    const [left, finished] = unfinished;
    left?.socket.destroy();
    finished?.send("0\r\n\r\n");
    assert.match(await finished?.untilClosed() ?? "", /^HTTP\/1.1 200/);
    assert.equal(parseResponse(await exchange(address, whole)).status, 200);
  });
});

// Guards against a legal request that is refused in calm for the number of its header fields.
test("a request whose head has as many short fields as fit into 16 KB is served in calm", async () => {
  await withServer({}, async ({ address }) => {
    for (const fields of [129, 200, 1_000, 2_400]) {
      const lines = Array.from(
        { length: fields },
        (_, at) => `${at.toString(36).padStart(3, "a")}:\r\n`,
      );
      const head = "GET /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";
      const raw = await exchange(address, `${head}${lines.join("")}\r\n`);
      assert.match(raw, /^HTTP\/1.1 200/);
    }
  });
});

// Guards against heads that together need more memory than there is, each of them within the limits.
test("heads of many fields for which there is no memory are rejected as not run, others are served", async () => {
  const lines = Array.from({ length: 1_000 }, (_, at) => `f${at}: 1\r\n`);
  const head = "PUT /echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n" +
    `${lines.join("")}\r\n`;
  const httpBudget = new ByteBudget({
    maximumBytes: MEBIBYTE,
    maximumBodyBytes: 0,
  });
  await withServer({ httpBudget }, async ({ address }) => {
    const waiting = Array.from({ length: 8 }, () => new RawClient(address));
    for (const client of waiting) client.send(head);
    let raw = "";
    for (
      let times = 0;
      times < 100 && !raw.startsWith("HTTP/1.1 503");
      times += 1
    ) {
      const client = new RawClient(address);
      client.send(head);
      await exchange(address, LAST);
      raw = client.received;
      waiting.push(client);
    }
    assert.equal(parseResponse(raw).status, 503);
    assert.equal(parseResponse(raw).body.ran, "no");
    assert.match(await exchange(address, LAST), /^HTTP\/1.1 200/);
    for (const client of waiting) client.socket.destroy();
  });
});

// Guards against heads whose fields need many times their size, and against fields that are dropped without notice.
test("a request with more header fields than allowed is rejected with 431, and one with as many is served", async () => {
  const limits = { maximumHeaderFields: 40 };
  const request = (fields: number): string =>
    "GET /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
    Array.from({ length: fields - 2 }, (_, at) => `f${at}: 1\r\n`).join("") +
    "\r\n";
  await withServer({ limits }, async ({ address }) => {
    assert.match(await exchange(address, request(40)), /^HTTP\/1.1 200/);
    for (const fields of [41, 42, 80, 1_000]) {
      const rejected = parseResponse(await exchange(address, request(fields)));
      assert.equal(rejected.status, 431);
      assert.equal(rejected.body.ran, "no");
    }
  });
});

// Guards against clients that open connections without sending anything and keep others out.
test("at the connection limit a new connection replaces the oldest that sent no request, and no other", async () => {
  const limits = { maximumConnections: 4 };
  await withServer({ limits }, async ({ address }) => {
    const served = new RawClient(address);
    served.send(GET);
    await served.until(/\}\n/);
    const silent: RawClient[] = [];
    for (let count = 0; count < 6; count += 1) {
      const client = new RawClient(address);
      client.send("GET /");
      silent.push(client);
      await new Promise((resolve) => client.socket.once("connect", resolve));
    }
    assert.match(await exchange(address, LAST), /^HTTP\/1.1 200/);
    assert.equal(await silent[0]?.untilClosed(), "");
    served.send(LAST);
    assert.match(await served.untilClosed(), /"name":"z"/);
    for (const client of silent) client.socket.destroy();
  });
});
