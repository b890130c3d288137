import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type CacheUse, EngineLoad } from "./engine_load.ts";

function peakOf(uses: readonly CacheUse[]): number {
  const load = new EngineLoad();
  for (const use of uses.slice(1)) load.add({ ...use, group: "g" });
  const [added] = uses;
  return added === undefined ? 0 : load.peakTokensWith(added);
}

/** Simulates the runs token by token. */
function simulatedPeak(uses: readonly CacheUse[]): number {
  let peak = 0;
  const longest = Math.max(0, ...uses.map((each) => each.tokensLeft));
  for (let generated = 0; generated <= longest; generated += 1) {
    const alive = uses.filter((each) => each.tokensLeft >= generated);
    const usedTokens = alive.map((each) => each.usedTokens + generated);
    peak = Math.max(peak, usedTokens.reduce((sum, each) => sum + each, 0));
  }
  return peak;
}

test("the peak cache use of an engine equals that of a token-by-token simulation of its runs", () => {
  const use = fc.record({
    usedTokens: fc.nat({ max: 50 }),
    tokensLeft: fc.nat({ max: 60 }),
  });
  const uses = fc.array(use, { minLength: 1, maxLength: 12 });
  fc.assert(
    fc.property(uses, (each) => {
      assert.equal(peakOf(each), simulatedPeak(each));
    }),
    { seed: 1, numRuns: 500 },
  );
});

test("short runs release their cache before a long run needs it", () => {
  const short = { usedTokens: 200, tokensLeft: 500 };
  const long = { usedTokens: 200, tokensLeft: 9_000 };
  assert.equal(peakOf([short, short, short, long]), 9_200);
});
