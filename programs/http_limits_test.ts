import assert from "node:assert/strict";
import { test } from "node:test";
import type { Address } from "#core";
import {
  exchange,
  parseResponse,
  RawClient,
  withServer,
} from "./http_testing.ts";

async function expectRejection(
  address: Address,
  text: string,
  expected: { readonly status: number; readonly kind: string },
): Promise<void> {
  const response = parseResponse(await exchange(address, text));
  assert.equal(response.status, expected.status);
  assert.equal(response.body.kind, expected.kind);
  assert.equal(response.body.ran, "no");
}

async function expectServed(address: Address): Promise<void> {
  const raw = await exchange(
    address,
    "GET /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
  );
  assert.equal(parseResponse(raw).status, 200);
}

const TOO_LARGE = { status: 413, kind: "body_too_large" } as const;

test("a body whose Content-Length exceeds the limit is rejected before it is sent", async () => {
  await withServer(
    { limits: { maximumBodyBytes: 10 } },
    async ({ address }) => {
      const client = new RawClient(address);
      client.send(
        "PUT /echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n",
      );
      const raw = await client.until(/\}\n/);
      assert.equal(parseResponse(raw).status, 413);
      client.socket.destroy();
      await expectServed(address);
    },
  );
});

test("a client that sends all of a rejected body receives the rejection without a connection error", async () => {
  const size = 4_000_000;
  await withServer(
    { limits: { maximumBodyBytes: 10, lingerMs: 60_000 } },
    async ({ address }) => {
      const client = new RawClient(address);
      client.send(
        `PUT /echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: ${size}\r\n\r\n`,
      );
      await client.until(/\}\n/);
      client.send("x".repeat(size));
      const raw = await client.untilClosed();
      assert.equal(parseResponse(raw).status, 413);
      assert.equal(client.error, undefined);
    },
  );
});

test("a chunked body over the limit is rejected, even if the client sends all of it first", async () => {
  await withServer(
    { limits: { maximumBodyBytes: 10 } },
    async ({ address }) => {
      const chunk = `100000\r\n${"x".repeat(0x100000)}\r\n`;
      await expectRejection(
        address,
        "PUT /echo/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
          `${chunk}${chunk}0\r\n\r\n`,
        TOO_LARGE,
      );
      await expectServed(address);
    },
  );
});

test("a smaller body size limit of the active bundle is enforced", async () => {
  await withServer({ bodyLimit: () => 3 }, async ({ address }) => {
    await expectRejection(
      address,
      "PUT /echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
      TOO_LARGE,
    );
  });
});

test("a client that expects 100-continue receives it only if the body is within the limit", async () => {
  await withServer(
    { limits: { maximumBodyBytes: 4 } },
    async ({ address }) => {
      const fits = new RawClient(address);
      fits.send(
        "PUT /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
          "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n",
      );
      assert.match(await fits.until(/\r\n\r\n/), /^HTTP\/1.1 100 Continue/);
      fits.send("body");
      assert.match(await fits.untilClosed(), /200 OK/);
      const large = new RawClient(address);
      large.send(
        "PUT /echo/a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n" +
          "Content-Length: 5\r\n\r\n",
      );
      assert.match(await large.until(/\}\n/), /^HTTP\/1.1 413/);
      large.socket.destroy();
    },
  );
});

test("headers over the limit are rejected with 431", async () => {
  await withServer(
    { limits: { maximumHeaderBytes: 1_024 } },
    async ({ address }) => {
      await expectRejection(
        address,
        `GET /echo/a HTTP/1.1\r\nHost: h\r\nX: ${
          "x".repeat(2_000)
        }\r\nY: y\r\n\r\n`,
        { status: 431, kind: "headers_too_large" },
      );
      await expectServed(address);
    },
  );
});

test("invalid HTTP, two lengths, an invalid chunk or escape, and a target without a leading slash are rejected with 400", async () => {
  const malformed = { status: 400, kind: "malformed_request" } as const;
  await withServer({}, async ({ address }) => {
    const texts = [
      "nonsense\r\n\r\n",
      "PUT /echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      "PUT /echo/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "GET /echo/%zz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
      "GET http://h/echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    ];
    for (const text of texts) {
      await expectRejection(address, text, malformed);
    }
    await expectServed(address);
  });
});

test("an HTTP/1.1 request without a Host header is rejected", async () => {
  await withServer({}, async ({ address }) => {
    await expectRejection(
      address,
      "GET /echo/a HTTP/1.1\r\nConnection: close\r\n\r\n",
      { status: 400, kind: "missing_header" },
    );
  });
});

test("a repeated header of the service is rejected, even if both values are equal", async () => {
  await withServer({}, async ({ address }) => {
    for (const name of ["Idempotency-Key", "Cicadafield-Tenant"]) {
      await expectRejection(
        address,
        `GET /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n${name}: 1\r\n${name}: 1\r\n\r\n`,
        { status: 400, kind: "conflicting_headers" },
      );
    }
  });
});

test("a client that sends headers or body too slowly is rejected with 408", async () => {
  const slow = { status: 408, kind: "slow_sender" } as const;
  const limits = { headersTimeoutMs: 40, requestTimeoutMs: 80 };
  await withServer({ limits }, async ({ address }) => {
    await expectRejection(address, "GET /echo/a HTTP/1.1\r\nHost", slow);
    await expectRejection(
      address,
      "PUT /echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf",
      slow,
    );
    await expectServed(address);
  });
});

test("connections over the limit are closed at once, and connections within it are served", async () => {
  await withServer(
    { limits: { maximumConnections: 2 } },
    async ({ address, events }) => {
      const first = new RawClient(address);
      first.send("GET /echo/a HTTP/1.1\r\nHost: h\r\n\r\n");
      await first.until(/\}\n/);
      const second = new RawClient(address);
      second.send("GET /echo/a HTTP/1.1\r\nHost: h\r\n\r\n");
      await second.until(/\}\n/);
      const third = new RawClient(address);
      third.send("GET /echo/a HTTP/1.1\r\nHost: h\r\n\r\n");
      assert.equal(await third.untilClosed(), "");
      assert.equal(
        events.records().some((each) => each.event.code === 1802),
        true,
      );
      second.socket.destroy();
      await second.untilClosed();
      first.send("GET /echo/b HTTP/1.1\r\nHost: h\r\n\r\n");
      assert.match(await first.until(/"name":"b"/), /"name":"b"/);
      first.socket.destroy();
    },
  );
});

test("a request with an incomplete body reaches no route", async () => {
  await withServer({}, async ({ address, metrics }) => {
    const client = new RawClient(address);
    client.send(
      "PUT /echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf",
    );
    client.socket.end();
    await client.untilClosed();
    await expectServed(address);
    const text = await metrics.render();
    assert.match(
      text,
      /cicadafield_http_answers_total\{route="echo",status="200"\} 1\n/,
    );
  });
});

test("a connection that pipelines too many requests receives the first responses and is closed", async () => {
  await withServer(
    { limits: { maximumPipelinedRequests: 3 } },
    async ({ address }) => {
      const one = "GET /echo/a HTTP/1.1\r\nHost: h\r\n\r\n";
      const raw = await exchange(address, one.repeat(50));
      assert.equal(raw.split("HTTP/1.1 200 OK").length - 1, 3);
      await expectServed(address);
    },
  );
});
