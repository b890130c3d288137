import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  type Address,
  type Milliseconds,
  SystemClock,
  type Timer,
} from "#core";
import {
  exchange,
  parseResponse,
  RawClient,
  withServer,
} from "./http_testing.ts";

const SEED = 20_261_203;
const RUNS = 1_000;
const SETTLING_EVENT_LOOP_TURNS = 50;
const LINE_END = "\r\n";

const line = fc.oneof(
  fc.constantFrom(
    "Host: h",
    "Content-Length: 4",
    "Content-Length: -1",
    "Content-Length: 99999999999999999999",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: gzip, chunked",
    "Expect: 100-continue",
    "Expect: something",
    "Connection: upgrade",
    "Upgrade: websocket",
    "Cicadafield-Tenant: tana",
    "Idempotency-Key: a",
    " folded",
    "",
  ),
  fc.string({ maxLength: 40 }),
);

const request = fc.record({
  method: fc.constantFrom("GET", "PUT", "HEAD", "CONNECT", "PRI", "get", "X"),
  target: fc.oneof(
    fc.constantFrom("/echo/a", "/echo/%zz", "*", "http://h/echo/a", "//"),
    fc.string({ maxLength: 30 }),
  ),
  protocol: fc.constantFrom("HTTP/1.1", "HTTP/1.0", "HTTP/2.0", "HTTP/1"),
  lines: fc.array(line, { maxLength: 6 }),
  body: fc.oneof(
    fc.constantFrom(
      "",
      "body",
      "4\r\nbody\r\n0\r\n\r\n",
      "zz\r\n",
      "4;x=y\r\n",
    ),
    fc.string({ maxLength: 40 }),
  ),
});

type RequestText = typeof request extends fc.Arbitrary<infer Value> ? Value
  : never;

function render(parts: RequestText): string {
  const head = `${parts.method} ${parts.target} ${parts.protocol}`;
  const lines = [head, ...parts.lines].join(LINE_END);
  return lines + LINE_END + LINE_END + parts.body;
}

/** A clock that counts the timers that have neither fired nor been cancelled. */
class CountingClock extends SystemClock {
  readonly #pending = new Set<symbol>();

  get pending(): number {
    return this.#pending.size;
  }

  override after(delayMs: Milliseconds, action: () => void): Timer {
    const mark = Symbol();
    this.#pending.add(mark);
    const timer = super.after(delayMs, () => {
      this.#pending.delete(mark);
      action();
    });
    return {
      cancel: () => {
        this.#pending.delete(mark);
        timer.cancel();
      },
    };
  }
}

async function exchangeAndEnd(address: Address, text: string): Promise<string> {
  const client = new RawClient(address);
  client.send(text);
  client.socket.end();
  return await client.untilClosed();
}

test("arbitrary bytes from a client cause no server error and leave no timer, and the next client is served", async () => {
  const clock = new CountingClock();
  await withServer({ clock }, async ({ address, events }) => {
    const property = fc.asyncProperty(request, async (parts) => {
      const raw = await exchangeAndEnd(address, render(parts));
      for (const [, status] of raw.matchAll(/^HTTP\/1\.1 (\d+)/gm)) {
        assert.ok(Number(status) < 500, raw);
        if (Number(status) < 400 || parts.method === "HEAD") continue;
        assert.match(raw, /"kind":"[a-z_]+"/);
      }
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
    const failed = events.records().filter((each) => each.event.code === 1804);
    assert.deepEqual(failed, []);
    const next = await exchange(
      address,
      "GET /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    assert.equal(parseResponse(next).status, 200);
  });
  for (let turn = 0; turn < SETTLING_EVENT_LOOP_TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.equal(clock.pending, 0);
});
