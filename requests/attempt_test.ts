import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type AttemptFailureCause, CallProgress } from "./attempt.ts";

const STAGES = ["sent", "first_byte", "whole"] as const;
const CAUSES: readonly AttemptFailureCause[] = [
  "not_connected",
  "connection_lost",
  "short_answer",
  "foreign_answer",
  "answer_too_large",
  "refused",
  "deadline",
  "cancelled",
];

test("a non-repeatable call is sent at most once, whatever fails", () => {
  fc.assert(
    fc.property(
      fc.boolean(),
      fc.array(
        fc.record({
          reached: fc.subarray([...STAGES]),
          cause: fc.constantFrom(...CAUSES),
        }, { noNullPrototype: true }),
        { minLength: 1, maxLength: 6 },
      ),
      (repeatable, attempts) => {
        const progress = new CallProgress({ repeatable, maximumAttempts: 4 });
        let sent = 0;
        for (const attempt of attempts) {
          progress.startAttempt();
          for (const stage of attempt.reached) progress.recordStage(stage);
          if (attempt.reached.length > 0) sent += 1;
          if (attempt.reached.includes("whole")) break;
          const decision = progress.failAttempt(attempt.cause);
          const ran = progress.ran;
          assert.equal(ran === "no", sent === 0 && ran !== "yes");
          if (decision.next === "again") continue;
          assert.equal(decision.failure.ran, ran);
          break;
        }
        assert.ok(repeatable || sent <= 1);
        assert.ok(progress.attempts <= 4);
      },
    ),
    { seed: 3, numRuns: 500 },
  );
});

test("an attempt that never connected leaves the outcome of an earlier attempt unknown", () => {
  const progress = new CallProgress({ repeatable: true, maximumAttempts: 2 });
  progress.startAttempt();
  progress.recordStage("sent");
  assert.deepEqual(progress.failAttempt("connection_lost"), { next: "again" });
  progress.startAttempt();
  const decision = progress.failAttempt("not_connected");
  assert.equal(decision.next, "fail");
  assert.equal(progress.ran, "unknown");
});

test("starting a second attempt of a non-repeatable call that may have run throws", () => {
  const progress = new CallProgress({ repeatable: false, maximumAttempts: 2 });
  progress.startAttempt();
  progress.recordStage("sent");
  progress.failAttempt("connection_lost");
  assert.throws(() => progress.startAttempt());
});
