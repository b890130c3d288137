import assert from "node:assert/strict";
import { test } from "node:test";
import type { Address } from "#core";
import {
  exchange,
  parseResponse,
  RawClient,
  withServer,
} from "./http_testing.ts";

async function expectRefusal(
  address: Address,
  text: string,
  expected: { readonly status: number; readonly kind: string },
): Promise<void> {
  const answer = parseResponse(await exchange(address, text));
  assert.equal(answer.status, expected.status);
  assert.equal(answer.body.kind, expected.kind);
  assert.equal(answer.body.ran, "no");
}

async function expectService(address: Address): Promise<void> {
  const raw = await exchange(
    address,
    "GET /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
  );
  assert.equal(parseResponse(raw).status, 200);
}

const TOO_LARGE = { status: 413, kind: "body_too_large" } as const;

test("an announced body over the limit is refused before it is sent", async () => {
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
      await expectService(address);
    },
  );
});

test("a caller that sends a refused body to its end sees the refusal and no broken connection", async () => {
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

test("a chunked body over the limit is refused, also when the caller sends it all first", async () => {
  await withServer(
    { limits: { maximumBodyBytes: 10 } },
    async ({ address }) => {
      const chunk = `100000\r\n${"x".repeat(0x100000)}\r\n`;
      await expectRefusal(
        address,
        "PUT /echo/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
          `${chunk}${chunk}0\r\n\r\n`,
        TOO_LARGE,
      );
      await expectService(address);
    },
  );
});

test("a smaller limit of the bundle in force holds as well", async () => {
  await withServer({ bodyLimit: () => 3 }, async ({ address }) => {
    await expectRefusal(
      address,
      "PUT /echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
      TOO_LARGE,
    );
  });
});

test("a caller that asks first is told to go on only if the size is right", async () => {
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

test("headers over the limit are refused with 431", async () => {
  await withServer(
    { limits: { maximumHeaderBytes: 1_024 } },
    async ({ address }) => {
      await expectRefusal(
        address,
        `GET /echo/a HTTP/1.1\r\nHost: h\r\nX: ${
          "x".repeat(2_000)
        }\r\nY: y\r\n\r\n`,
        { status: 431, kind: "headers_too_large" },
      );
      await expectService(address);
    },
  );
});

test("what is no HTTP, or has two lengths, a bad escape or no slash, is refused with 400", async () => {
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
      await expectRefusal(address, text, malformed);
    }
    await expectService(address);
  });
});

test("a request without the Host header that HTTP/1.1 asks for is refused", async () => {
  await withServer({}, async ({ address }) => {
    await expectRefusal(
      address,
      "GET /echo/a HTTP/1.1\r\nConnection: close\r\n\r\n",
      { status: 400, kind: "missing_header" },
    );
  });
});

test("a header of the service given twice is refused, even with one value", async () => {
  await withServer({}, async ({ address }) => {
    for (const name of ["Idempotency-Key", "Cicadafield-Tenant"]) {
      await expectRefusal(
        address,
        `GET /echo/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n${name}: 1\r\n${name}: 1\r\n\r\n`,
        { status: 400, kind: "conflicting_headers" },
      );
    }
  });
});

test("a caller that sends headers or body too slowly is refused with 408", async () => {
  const slow = { status: 408, kind: "slow_sender" } as const;
  const limits = { headersTimeoutMs: 40, requestTimeoutMs: 80 };
  await withServer({ limits }, async ({ address }) => {
    await expectRefusal(address, "GET /echo/a HTTP/1.1\r\nHost", slow);
    await expectRefusal(
      address,
      "PUT /echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf",
      slow,
    );
    await expectService(address);
  });
});

test("connections over the limit are closed at once, and those within it are served", async () => {
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

test("a body that breaks off reaches no route", async () => {
  await withServer({}, async ({ address, metrics }) => {
    const client = new RawClient(address);
    client.send(
      "PUT /echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf",
    );
    client.socket.end();
    await client.untilClosed();
    await expectService(address);
    const text = await metrics.render();
    assert.match(
      text,
      /cicadafield_http_answers_total\{route="echo",status="200"\} 1\n/,
    );
  });
});

test("a connection that sends too many requests ahead gets the first answers and is closed", async () => {
  await withServer(
    { limits: { maximumPipelinedRequests: 3 } },
    async ({ address }) => {
      const one = "GET /echo/a HTTP/1.1\r\nHost: h\r\n\r\n";
      const raw = await exchange(address, one.repeat(50));
      assert.equal(raw.split("HTTP/1.1 200 OK").length - 1, 3);
      await expectService(address);
    },
  );
});
