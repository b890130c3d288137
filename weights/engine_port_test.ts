import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { test } from "node:test";
import { type Address } from "#core";
import { HttpEnginePort } from "./engine_port.ts";

const HOST = "127.6.9.1";

function listen(server: Server): Promise<Address> {
  return new Promise((resolve) => {
    server.listen({ host: HOST, port: 0 }, () => {
      const bound = server.address();
      const port = typeof bound === "object" ? bound?.port ?? 0 : 0;
      resolve({ host: HOST, port });
    });
  });
}

test("an order whose time limit is a fraction of the lease is given, not a crash", async () => {
  const server = createServer((_request, response) => response.end("{}"));
  const address = await listen(server);
  const port = new HttpEnginePort(HOST);
  const order = { upstream: "e", model: "advice", version: 2, fence: 7 };
  try {
    const given = await port.order(address, order, 2_888.2063840000001);
    assert.equal(given.ok, true);
    const spent = await port.order(address, order, 0.2);
    assert.equal(spent.ok || spent.val.kind !== "internal", true);
  } finally {
    port.close();
    server.close();
    server.closeAllConnections();
  }
});
