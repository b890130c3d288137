import assert from "node:assert/strict";
import { test } from "node:test";
import { TrainerTally } from "./trainer_tally.ts";
import { expectedText } from "./token_text.ts";
import type { DeliveredSample, StepBody } from "./trainer_protocol.ts";

const BODY: StepBody = {
  groups: [{ group: 0, prompt: "pitch 1" }, { group: 1, prompt: "pitch 2" }],
  groupSize: 2,
  maximumTokens: 8,
  bound: 1,
  deadlineMs: 1_000,
};

function sample(
  slot: { readonly group: number; readonly index: number },
  version = 1,
): DeliveredSample {
  const group = BODY.groups[slot.group];
  const versions = [{ version, tokens: 8 }];
  const text = expectedText({
    model: "draft",
    prompt: group?.prompt ?? "",
    seed: slot.index,
  }, versions);
  return { step: 1, ...slot, text, versions };
}

function tallyOf(
  samples: readonly DeliveredSample[],
  newestVersion = 1,
): TrainerTally {
  const tally = new TrainerTally("draft");
  tally.addStep(1, BODY);
  for (const delivered of samples) tally.addSample(delivered, newestVersion);
  return tally;
}

test("a step is complete when every sample was received once", () => {
  const slots = [0, 1].flatMap((group) =>
    [0, 1].map((index) => ({ group, index }))
  );
  const tally = tallyOf(slots.map((slot) => sample(slot)));
  assert.equal(tally.isComplete(1), true);
  assert.equal(tally.counts().samples, 4);
  assert.equal(tally.counts().untrue, 0);
});

test("a sample that is delivered twice is counted as doubled", () => {
  const delivered = sample({ group: 0, index: 1 });
  assert.equal(tallyOf([delivered, delivered]).counts().doubled, 1);
});

test("a sample that reports a version other than the one that generated it is counted as untrue", () => {
  const original = sample({ group: 0, index: 1 });
  const mislabeled = { ...original, versions: [{ version: 2, tokens: 8 }] };
  assert.equal(tallyOf([mislabeled]).counts().untrue, 1);
});

test("a sample with the completion of another prompt is counted as untrue", () => {
  const delivered = { ...sample({ group: 0, index: 1 }), group: 1 };
  assert.equal(tallyOf([delivered]).counts().untrue, 1);
});

test("a sample with a truncated completion is counted as untrue", () => {
  const original = sample({ group: 0, index: 1 });
  const truncated = {
    ...original,
    text: original.text.slice(0, original.text.lastIndexOf(" ")),
  };
  assert.equal(tallyOf([truncated]).counts().untrue, 1);
});

test("a sample older than the staleness bound is counted as over the bound", () => {
  const tally = tallyOf([sample({ group: 0, index: 0 })], 3);
  assert.equal(tally.counts().overBound, 1);
  assert.equal(tally.counts().greatestStaleness, 2);
});

test("a sample that no step requested is counted as unasked", () => {
  const unrequested = { ...sample({ group: 0, index: 0 }), step: 2 };
  assert.equal(tallyOf([unrequested]).counts().unasked, 1);
});
