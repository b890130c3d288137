import assert from "node:assert/strict";
import { test } from "node:test";
import { fail, type HttpRoute, jsonResponse } from "#core";
import { withServer } from "./http_testing.ts";
import { OperatorClient } from "./operator_client.ts";

const TIMEOUT_MS = 5_000;
const UNREACHABLE = { host: "127.3.0.3", port: 1 };

function routeWith(handle: HttpRoute["handle"]): HttpRoute {
  return { method: "GET", pattern: "/x", name: "x", handle };
}

const FOUND = routeWith(() => Promise.resolve(jsonResponse(200, { found: 1 })));
const MISSING = routeWith(() =>
  Promise.resolve(fail("not_found", "not found"))
);

test("a request goes to the next entry VM if one does not respond", async () => {
  await withServer({ routes: [FOUND] }, async ({ address }) => {
    const client = new OperatorClient([UNREACHABLE, address], TIMEOUT_MS);
    const response = await client.send({ method: "GET", path: "/x" });
    assert.deepEqual(response.unwrap(), { found: 1 });
  });
});

test("an error response is final, except that not_found can go on to the next VM", async () => {
  await withServer({ routes: [MISSING] }, async (first) => {
    await withServer({ routes: [FOUND] }, async (second) => {
      const entries = [first.address, second.address];
      const client = new OperatorClient(entries, TIMEOUT_MS);
      const request = { method: "GET", path: "/x" } as const;
      const rejected = await client.send(request);
      assert.ok(rejected.err && rejected.val.kind === "not_found");
      const found = await client.send({ ...request, continueOnNotFound: true });
      assert.deepEqual(found.unwrap(), { found: 1 });
      const nowhere = new OperatorClient(
        [first.address, UNREACHABLE],
        TIMEOUT_MS,
      );
      const missing = await nowhere.send({
        ...request,
        continueOnNotFound: true,
      });
      assert.ok(missing.err && missing.val.kind === "not_found");
    });
  });
});

test("without any response the outcome is unknown and the error names each VM", async () => {
  const client = new OperatorClient([UNREACHABLE], TIMEOUT_MS);
  const response = await client.send({ method: "GET", path: "/x" });
  assert.ok(response.err && response.val.kind === "outcome_unknown");
  assert.match(response.val.message, /127\.3\.0\.3:1: .*ECONNREFUSED/);
});
