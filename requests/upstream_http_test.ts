import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import {
  type AddressInfo,
  createServer as createRawServer,
  type Socket,
} from "node:net";
import { test } from "node:test";
import { type Address, ByteBudget, MEBIBYTE } from "#core";
import { type OutgoingCall, UpstreamHttp } from "./upstream_http.ts";

const HOST = "127.3.0.7";
const LARGE_BYTES = 30 * MEBIBYTE;

function callTo(address: Address): OutgoingCall {
  return {
    address,
    method: "GET",
    target: "/",
    headers: ["Host", "h.example"],
    body: new Uint8Array(),
    signal: new AbortController().signal,
    reuseConnection: false,
  };
}

/** Runs `use` with an upstream whose responses the test writes. */
async function withUpstream(
  use: (
    address: Address,
    nextResponse: () => Promise<ServerResponse>,
  ) => Promise<void>,
): Promise<void> {
  const waiting: ServerResponse[] = [];
  let wake: () => void = () => {};
  const server = createServer((_request, response) => {
    waiting.push(response);
    wake();
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const nextResponse = async (): Promise<ServerResponse> => {
    while (true) {
      const response = waiting.shift();
      if (response !== undefined) return response;
      await new Promise<void>((resolve) => {
        wake = resolve;
      });
    }
  };
  try {
    await use({ host: HOST, port }, nextResponse);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

test("responses that together exceed the memory of the process fail instead of ending it, and free their memory", async () => {
  await withUpstream(async (address, nextResponse) => {
    const http = new UpstreamHttp();
    const first = http.call(callTo(address));
    const firstResponse = await nextResponse();
    firstResponse.writeHead(200, { "Content-Length": LARGE_BYTES });
    firstResponse.write(Buffer.alloc(MEBIBYTE));
    await new Promise((resolve) => firstResponse.write("x", resolve));
    const second = http.call(callTo(address));
    const secondResponse = await nextResponse();
    secondResponse.on("error", () => {});
    secondResponse.end(Buffer.alloc(LARGE_BYTES));
    const rejected = await second;
    assert.equal(rejected.err, true);
    if (rejected.err) {
      assert.equal(rejected.val.mayHaveRun, true);
      assert.match(rejected.val.reason, /no memory/);
    }
    firstResponse.end(Buffer.alloc(LARGE_BYTES - MEBIBYTE - 1));
    assert.equal((await first).unwrap().body.length, LARGE_BYTES);
    const third = http.call(callTo(address));
    (await nextResponse()).end(Buffer.alloc(LARGE_BYTES));
    assert.equal((await third).unwrap().body.length, LARGE_BYTES);
    http.close();
  });
});

test("responses that are read and responses that are written share one budget", async () => {
  await withUpstream(async (address, nextResponse) => {
    const responseBudget = new ByteBudget({
      maximumBytes: 40 * MEBIBYTE,
      maximumBodyBytes: 32 * MEBIBYTE,
    });
    const http = new UpstreamHttp({ responseBudget });
    const written = responseBudget.open();
    assert.equal(written.extendTo(LARGE_BYTES), true);
    const rejected = http.call(callTo(address));
    const response = await nextResponse();
    response.on("error", () => {});
    response.end(Buffer.alloc(LARGE_BYTES));
    assert.equal((await rejected).err, true);
    written.release();
    const accepted = http.call(callTo(address));
    (await nextResponse()).end(Buffer.alloc(LARGE_BYTES));
    assert.equal((await accepted).ok, true);
    assert.equal(responseBudget.reservedBytes, 0);
    http.close();
  });
});

test("a response without a length is complete, and a response that is too large fails", async () => {
  await withUpstream(async (address, nextResponse) => {
    const http = new UpstreamHttp();
    const chunked = http.call(callTo(address));
    const response = await nextResponse();
    response.write("one ");
    response.end("two");
    const { body } = (await chunked).unwrap();
    assert.equal(Buffer.from(body).toString(), "one two");
    const large = http.call(callTo(address));
    const largeResponse = await nextResponse();
    largeResponse.on("error", () => {});
    largeResponse.writeHead(200, { "Content-Length": 33 * MEBIBYTE });
    largeResponse.write("x");
    const rejected = await large;
    assert.equal(rejected.err && rejected.val.reason, "response too large");
    http.close();
  });
});

test("a response without a length whose connection is reset or cancelled is not complete", async () => {
  const sockets: Socket[] = [];
  const server = createRawServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\n\r\npart");
      sockets.push(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const http = new UpstreamHttp();
  const abort = new AbortController();
  const call = { ...callTo({ host: HOST, port }), signal: abort.signal };
  for (
    const end of [
      () => sockets.shift()?.resetAndDestroy(),
      () => abort.abort(),
    ]
  ) {
    setTimeout(end, 50);
    const result = await http.call(call);
    assert.equal(result.ok, false);
  }
  for (const socket of sockets) socket.destroy();
  server.close();
});

test("a call that can't be written, as to an odd entry among the upstreams, fails as not run", async () => {
  const http = new UpstreamHttp();
  const sound = callTo({ host: HOST, port: 1 });
  const odd: readonly OutgoingCall[] = [
    callTo({ host: HOST, port: 65_536 }),
    callTo({ host: HOST, port: 99_999_999_999 }),
    callTo({ host: "999.1.1.1", port: 1 }),
    { ...sound, headers: ["Host", "h", "X-Upstream", "w\n1"] },
    { ...sound, headers: ["Host", "h", "X-Upstream", "\u4e2d"] },
  ];
  for (const call of odd) {
    const result = await http.open(call);
    assert.ok(result.err);
    assert.equal(result.val.mayHaveRun, false, result.val.reason);
  }
  http.close();
});
