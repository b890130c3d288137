import assert from "node:assert/strict";
import { test } from "node:test";
import { type RouteRule, VirtualClock } from "#core";
import type { RoutedCall } from "#requests";
import { TestDialect } from "../requests/test_dialect.ts";
import { ForwardedScoring } from "./forwarded_scoring.ts";

const ROUTE: RouteRule = {
  name: "scores",
  host: "h2",
  pathPrefix: "/s/",
  kind: "idempotent",
  timeoutMs: 3_000,
  objectiveMs: 900,
  priority: 3,
  split: [{ service: "scores", weight: 1 }],
  maximumAttempts: 4,
  resumable: false,
  singleVersion: false,
  maximumQueueMs: null,
  dueMs: null,
};
const CALL = { id: "s1", host: "h2", target: "/s/1", body: new Uint8Array(1) };

test("an item is not given up for responses of its scoring call other than 500", async () => {
  const forwarder = {
    forward: (routed: RoutedCall) => {
      for (const status of [500, 504, 502, 500]) routed.onServerError?.(status);
      const body = new Uint8Array(0);
      return Promise.resolve({ status: 500, headers: {}, body });
    },
  };
  const clock = new VirtualClock();
  const dialect = new TestDialect();
  const scoring = new ForwardedScoring({ forwarder, clock, dialect });
  const { signal } = new AbortController();
  const outcome = await scoring.send(CALL, { route: ROUTE, signal });
  assert.ok(outcome.kind === "failed");
  assert.equal(outcome.serverErrors, 2);
  assert.match(outcome.reason, /500, 504, 502, 500/);
});
