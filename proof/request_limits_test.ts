import assert from "node:assert/strict";
import { test } from "node:test";
import { type Milliseconds, SECOND_MS } from "#core";
import { EntrySite, type EntrySiteOptions } from "./entry_site.ts";

const SPAN_MS: Milliseconds = 4 * SECOND_MS;

/** Half as much again as the limit allows, and five requests. */
function allowedWithin(spanMs: Milliseconds, perSecond: number): number {
  return 1.5 * perSecond * spanMs / SECOND_MS + 5;
}

async function withSite(
  options: EntrySiteOptions,
  run: (site: EntrySite) => Promise<void>,
): Promise<void> {
  const site = await EntrySite.start(options);
  try {
    await run(site);
  } finally {
    site.stop();
  }
}

function assertLimitsHeld(site: EntrySite): void {
  for (const [at, { limit }] of site.upstreams.entries()) {
    if (limit === null) continue;
    const most = site.mostWithin(at, SPAN_MS);
    const allowed = allowedWithin(SPAN_MS, limit);
    assert.ok(most <= allowed, `u${at} got ${most}, allowed are ${allowed}`);
  }
}

test("entry VMs that share an upstream send it together no more than the limit that it names, and other upstreams take the rest", async () => {
  await withSite({ entries: 6, limits: [1, 1, null] }, async (site) => {
    await site.load({ perSecond: 7, seconds: 3 });
    site.arrivals.length = 0;
    const responses = await site.load({ perSecond: 7, seconds: 12 });
    assertLimitsHeld(site);
    for (const response of responses) assert.ok("status" in response);
  });
});
