import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import {
  type FleetUpstream,
  MEBIBYTE,
  MemoryEventLog,
  type RouteRule,
  SeededRandom,
  SystemClock,
} from "#core";
import { TrustedCalls } from "#crashes";
import { UnlimitedPermits } from "#quotas";
import {
  ENDLESS_PLACES,
  type EndlessPace,
  type EndlessPlace,
  EndlessUpstream,
} from "./endless_upstream.ts";
import { Forwarder } from "./forwarder.ts";
import { TestDialect, withHealthyUpstream } from "./test_dialect.ts";
import { UpstreamHttp } from "./upstream_http.ts";

const PACES: readonly EndlessPace[] = ["fast", "trickle"];
const CALL_TIMEOUT_MS = 300;
const CLOSE_WAIT_MS = 100;
const CALLS_AT_ONCE = 48;
/** Of responses being read the process holds 40 MiB; the rest is for buffers that the runtime releases late. */
const MAXIMUM_GROWTH_BYTES = 120 * MEBIBYTE;

const ROUTE: RouteRule = {
  name: "route",
  host: "h",
  pathPrefix: "/a/",
  kind: "idempotent",
  timeoutMs: 1_500,
  objectiveMs: 200,
  priority: 1,
  split: [{ service: "cards", weight: 1 }],
  maximumAttempts: 2,
  resumable: false,
  singleVersion: false,
  maximumQueueMs: null,
  dueMs: null,
};

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function withUpstream(
  kind: readonly [EndlessPlace, EndlessPace],
  use: (upstream: EndlessUpstream) => Promise<void>,
): Promise<void> {
  const upstream = await EndlessUpstream.start(...kind);
  try {
    await use(upstream);
  } finally {
    upstream.close();
  }
}

function callTo(
  http: UpstreamHttp,
  upstream: EndlessUpstream,
): ReturnType<UpstreamHttp["call"]> {
  const { host, port } = upstream.address;
  return http.call({
    address: { host, port },
    method: "POST",
    target: "/a/b",
    headers: ["Host", "h"],
    body: new Uint8Array(1),
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    reuseConnection: true,
  });
}

for (const pace of PACES) {
  for (const place of ENDLESS_PLACES) {
    test(`bytes without end in ${place}, ${pace}, end the call and its connection`, async () => {
      await withUpstream([place, pace], async (upstream) => {
        const http = new UpstreamHttp();
        const result = await callTo(http, upstream);
        assert.equal(result.ok, false);
        await sleep(CLOSE_WAIT_MS);
        assert.equal(upstream.openConnections, 0);
        http.close();
      });
    });
  }
}

test("dozens of responses without end at once do not fill the memory of the process", async () => {
  for (const place of ENDLESS_PLACES) {
    await withUpstream([place, "fast"], async (upstream) => {
      const http = new UpstreamHttp();
      const before = process.memoryUsage().rss;
      const calls = Array.from(
        { length: CALLS_AT_ONCE },
        () => callTo(http, upstream),
      );
      const results = await Promise.all(calls);
      const growth = process.memoryUsage().rss - before;
      assert.ok(results.every((result) => result.err), place);
      assert.ok(growth < MAXIMUM_GROWTH_BYTES, `${place}: ${growth} bytes`);
      http.close();
    });
  }
});

function fleetOf(
  troubled: EndlessUpstream,
  healthy: { readonly port: number },
): readonly FleetUpstream[] {
  const common = {
    bornMs: 1,
    sequence: 1,
    service: "cards",
    slots: 4,
    phase: "ready" as const,
    serves: [],
  };
  return [
    { ...common, id: "troubled", zone: "here", address: troubled.address },
    {
      ...common,
      id: "healthy",
      zone: "there",
      address: { host: "127.0.0.1", port: healthy.port },
    },
  ];
}

test("calls are answered by another upstream whatever the first one sends without end (fuzz, fixed seeds)", async () => {
  await withHealthyUpstream(async (healthy) => {
    for (let seed = 1; seed <= 24; seed += 1) {
      const random = new SeededRandom(seed);
      const place = ENDLESS_PLACES[random.below(ENDLESS_PLACES.length)];
      const pace = PACES[random.below(PACES.length)];
      assert.ok(place !== undefined && pace !== undefined);
      await withUpstream([place, pace], async (troubled) => {
        const forwarder = new Forwarder({
          zone: "here",
          clock: new SystemClock(),
          random,
          events: new MemoryEventLog(),
          dialect: new TestDialect(),
          upstreams: () => fleetOf(troubled, healthy),
          onLeaving: () => {},
          onRequestLimit: () => {},
          permits: new UnlimitedPermits(),
          crashGuard: new TrustedCalls(),
        });
        const responses = await Promise.all(
          Array.from({ length: 1 + random.below(6) }, () =>
            forwarder.forward({
              call: {
                method: "POST",
                path: "/a/b",
                target: "/a/b",
                rawHeaders: ["Host", "h"],
                parameters: {},
                query: new URLSearchParams(),
                headers: {},
                body: new Uint8Array(1),
                signal: new AbortController().signal,
              },
              route: ROUTE,
              requestId: "r1",
              deadlineMs: performance.now() + 1_500,
            })),
        );
        for (const response of responses) {
          assert.equal(
            "status" in response ? response.status : response.message,
            200,
            `seed ${seed}, ${place}, ${pace}`,
          );
        }
        assert.ok(troubled.connections > 0);
        await sleep(CLOSE_WAIT_MS);
        assert.equal(troubled.openConnections, 0, `${place}, ${pace}`);
        forwarder.close();
      });
    }
  });
});
