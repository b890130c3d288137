import assert from "node:assert/strict";
import { test } from "node:test";
import { type HttpRoute, MEBIBYTE } from "#core";
import {
  ECHO_ROUTE,
  exchange,
  parseResponse,
  RawClient,
  withServer,
} from "./http_testing.ts";

const LIMITS = { maximumBodyBytes: 300_000, maximumHeldBodyBytes: 360_000 };
const LARGE_BYTES = 200_000;

/** Counts the requests that reach the handler. */
function countingRoute(): { readonly route: HttpRoute; handled: number } {
  const counted = {
    handled: 0,
    route: {
      ...ECHO_ROUTE,
      handle: (call: Parameters<HttpRoute["handle"]>[0]) => {
        counted.handled += 1;
        return ECHO_ROUTE.handle(call);
      },
    },
  };
  return counted;
}

function putHead(headers: string): string {
  return `PUT /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n${headers}\r\n\r\n`;
}

test("bodies that together exceed the memory of the process are rejected with 503 and not run, instead of ending it", async () => {
  const counted = countingRoute();
  const options = { limits: LIMITS, routes: [counted.route] };
  await withServer(options, async ({ address }) => {
    const first = new RawClient(address);
    first.send(
      putHead(`Expect: 100-continue\r\nContent-Length: ${LARGE_BYTES}`),
    );
    await first.until(/100 Continue/);
    const second = new RawClient(address);
    second.send(putHead(`Content-Length: ${LARGE_BYTES}`));
    const raw = await second.until(/\}\n/);
    assert.match(raw, /\r\nRetry-After: \d/i);
    const rejection = parseResponse(raw);
    assert.equal(rejection.status, 503);
    assert.equal(rejection.body.ran, "no");
    assert.equal(counted.handled, 0);
    second.socket.destroy();
    first.send("x".repeat(LARGE_BYTES));
    assert.match(await first.untilClosed(), /200 OK/);
    const third = await exchange(
      address,
      putHead(`Content-Length: ${LARGE_BYTES}`) + "x".repeat(LARGE_BYTES),
    );
    assert.match(third, /200 OK/);
    assert.equal(counted.handled, 2);
  });
});

test("chunked bodies are counted while they arrive, and a client that disconnects frees its memory", async () => {
  const counted = countingRoute();
  const options = { limits: LIMITS, routes: [counted.route] };
  const chunk = `${LARGE_BYTES.toString(16)}\r\n${"x".repeat(LARGE_BYTES)}\r\n`;
  await withServer(options, async ({ address }) => {
    const first = new RawClient(address);
    first.send(
      putHead(`Expect: 100-continue\r\nContent-Length: ${LARGE_BYTES}`),
    );
    await first.until(/100 Continue/);
    const head = putHead("Transfer-Encoding: chunked");
    const rejected = await exchange(address, `${head}${chunk}0\r\n\r\n`);
    assert.equal(parseResponse(rejected).status, 503);
    assert.equal(counted.handled, 0);
    first.socket.destroy();
    await first.untilClosed();
    let response = await exchange(address, `${head}${chunk}0\r\n\r\n`);
    while (parseResponse(response).status === 503) {
      response = await exchange(address, `${head}${chunk}0\r\n\r\n`);
    }
    assert.equal(parseResponse(response).status, 200);
  });
});

test("of chunked bodies that arrive together and don't all fit, some are accepted instead of none", async () => {
  const lingerMs = 60_000;
  const options = { limits: { ...LIMITS, lingerMs } };
  const piece = `1000\r\n${"x".repeat(0x1000)}\r\n`;
  const pieces = Math.floor(LIMITS.maximumBodyBytes / 0x1000);
  await withServer(options, async ({ address }) => {
    const clients = Array.from({ length: 4 }, () => new RawClient(address));
    for (const client of clients) {
      client.send(putHead("Transfer-Encoding: chunked"));
    }
    for (let sent = 0; sent < pieces; sent += 1) {
      for (const client of clients) client.send(piece);
      await new Promise((resolve) => setImmediate(resolve));
    }
    for (const client of clients) client.send("0\r\n\r\n");
    const responses = await Promise.all(
      clients.map((client) => client.untilClosed()),
    );
    const statuses = responses.map((raw) => parseResponse(raw).status);
    assert.ok(statuses.includes(200), statuses.join(" "));
    assert.ok(statuses.includes(503), statuses.join(" "));
  });
});

test("large bodies in progress leave memory for small ones", async () => {
  await withServer({ limits: LIMITS }, async ({ address }) => {
    const large = new RawClient(address);
    large.send(
      putHead(
        `Expect: 100-continue\r\nContent-Length: ${LIMITS.maximumBodyBytes}`,
      ),
    );
    await large.until(/100 Continue/);
    const small = await exchange(
      address,
      `${putHead("Content-Length: 4")}body`,
    );
    assert.match(small, /200 OK/);
    large.socket.destroy();
  });
});

test("responses to callers that don't read them don't fill the memory of the process", async () => {
  const body = Buffer.alloc(30 * MEBIBYTE, "x");
  const route: HttpRoute = {
    ...ECHO_ROUTE,
    handle: () => Promise.resolve({ status: 200, headers: {}, body }),
  };
  const limits = { maximumHeldResponseBytes: 48 * MEBIBYTE };
  await withServer({ limits, routes: [route] }, async ({ address }) => {
    const get = "GET /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    const slow = new RawClient(address);
    slow.send(get);
    await slow.until(/200 OK/);
    slow.socket.pause();
    const second = parseResponse(await exchange(address, get));
    assert.equal(second.status, 504);
    assert.equal(second.body.ran, "unknown");
    slow.socket.resume();
    assert.ok((await slow.untilClosed()).length > body.length);
    assert.match(await exchange(address, get), /^HTTP\/1.1 200 OK/);
  });
});
