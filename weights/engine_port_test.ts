import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { SystemClock } from "#core";
import { HttpEnginePort } from "./engine_port.ts";

const HOST = "127.6.0.20";
const ORDER = { upstream: "e1", model: "advice", version: 4, fence: 7 };
const STATE = {
  id: "e1",
  incarnation: 2,
  fence: 7,
  models: [{ model: "advice", version: 4, state: "serving" }],
  running: 0,
  waiting: 0,
};

async function withEngine(
  reply: { readonly status: number; readonly body: string },
  check: (port: HttpEnginePort, number: number) => Promise<void>,
): Promise<void> {
  const server: Server = createServer((_request, response) => {
    response.writeHead(reply.status).end(reply.body);
  });
  server.listen(0, HOST);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const clock = new SystemClock();
  const engines = new HttpEnginePort({ sourceHost: "127.6.0.1", clock });
  try {
    await check(engines, port);
  } finally {
    engines.close();
    server.closeAllConnections();
    server.close();
  }
}

test("an order is accepted, rejected for its fence, or fails", async () => {
  const kinds = new Map([[200, null], [409, "stale_fence"], [
    500,
    "upstream_failed",
  ]]);
  for (const [status, kind] of kinds) {
    await withEngine({ status, body: "{}" }, async (engines, port) => {
      const result = await engines.sendOrder(
        { host: HOST, port },
        ORDER,
        5_000,
      );
      assert.equal(result.ok ? null : result.val.kind, kind);
    });
  }
});

test("an engine state is parsed, and an invalid one is a failure", async () => {
  const body = JSON.stringify(STATE);
  await withEngine({ status: 200, body }, async (engines, port) => {
    const state = await engines.readState({ host: HOST, port }, 5_000);
    assert.equal(state.unwrap().models[0]?.version, 4);
  });
  for (const wrong of ["{}", "x"]) {
    await withEngine({ status: 200, body: wrong }, async (engines, port) => {
      const state = await engines.readState({ host: HOST, port }, 5_000);
      assert.ok(state.err);
      assert.equal(state.val.kind, "upstream_failed");
    });
  }
});

test("an order with a fractional time limit is sent without an internal error", async () => {
  await withEngine({ status: 200, body: "{}" }, async (engines, port) => {
    const address = { host: HOST, port };
    const accepted = await engines.sendOrder(
      address,
      ORDER,
      2_888.2063840000001,
    );
    assert.equal(accepted.ok, true);
    const almostExpired = await engines.sendOrder(address, ORDER, 0.2);
    assert.equal(
      almostExpired.ok || almostExpired.val.kind !== "internal",
      true,
    );
  });
});
