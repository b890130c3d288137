import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  type RunningSample,
  STRAGGLER_LIMITS,
  StragglerPolicy,
} from "./straggler_policy.ts";

const SLOW: RunningSample = {
  key: "slow",
  model: "advice",
  startedAtMs: 0,
  firstChunkAtMs: 100,
  tokens: 10,
  activeAttempts: 1,
  tokensAtRisk: 10,
  tail: false,
};

function makePolicy(attempts = 8): StragglerPolicy {
  const policy = new StragglerPolicy();
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    policy.recordFinished({
      model: "advice",
      tokens: 100,
      waitedMs: 50,
      generatedMs: 1_000,
    });
  }
  return policy;
}

test("an attempt far slower than the median gets a hedged attempt, one at the median does not", () => {
  const policy = makePolicy();
  const usual = { ...SLOW, key: "usual", tokens: 90 };
  assert.deepEqual(policy.selectStragglers([usual, SLOW], 1_100), ["slow"]);
});

test("no attempt is a straggler before enough have finished, or before its minimum time", () => {
  assert.deepEqual(makePolicy(3).selectStragglers([SLOW], 1_100), []);
  assert.deepEqual(
    makePolicy().selectStragglers([{ ...SLOW, tokens: 0 }], 250),
    [],
  );
});

test("an attempt without a token can be a straggler only in the tail of its step", () => {
  const withoutToken = { ...SLOW, firstChunkAtMs: null, tokens: 0 };
  const policy = makePolicy();
  assert.deepEqual(policy.selectStragglers([withoutToken], 9_000), []);
  assert.deepEqual(
    policy.selectStragglers([{ ...withoutToken, tail: true }], 9_000),
    ["slow"],
  );
});

test("no sample gets more attempts than the limit", () => {
  const atLimit = {
    ...SLOW,
    activeAttempts: STRAGGLER_LIMITS.maximumAttempts,
  };
  assert.deepEqual(makePolicy().selectStragglers([atLimit], 9_000), []);
});

test("tokens at risk never exceed the allowance and the budget", () => {
  const sample = fc.record({
    tokens: fc.nat(2_000),
    runs: fc.integer({ min: 1, max: 4 }),
  }, { noNullPrototype: true });
  fc.assert(
    fc.property(fc.array(sample, { maxLength: 40 }), (list) => {
      const policy = makePolicy();
      const running = list.map(({ tokens, runs }, index) => ({
        ...SLOW,
        key: `${index}`,
        activeAttempts: runs,
        tokensAtRisk: tokens,
      }));
      const chosen = new Set(policy.selectStragglers(running, 9_000));
      if (chosen.size === 0) return;
      let risk = 0;
      for (const one of running) {
        if (chosen.has(one.key) || one.activeAttempts > 1) {
          risk += one.tokensAtRisk;
        }
      }
      const { allowanceTokens, wasteBudgetRatio: budget } = STRAGGLER_LIMITS;
      const limit = allowanceTokens + budget * 800;
      const before = running.filter((view) => view.activeAttempts > 1)
        .reduce((sum, view) => sum + view.tokensAtRisk, 0);
      assert.ok(risk <= Math.max(limit, before), `${risk} over ${limit}`);
    }),
    { seed: 3, numRuns: 500 },
  );
});
