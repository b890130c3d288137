import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "#core";
import { encodeValue } from "#wire";
import { BatchAdmission } from "./batch_admission.ts";
import { batchStateLimit } from "./batch_state_limit.ts";
import type { Batch } from "./batch_types.ts";
import { BatchesMachine } from "./batches_machine.ts";

function batchOf(id: string, count: number, expectedTokens: number): Batch {
  return {
    id,
    route: "r",
    host: "h",
    model: "m",
    minimumVersion: null,
    singleVersion: false,
    maximumFailures: 3,
    maximumQueueMs: null,
    dueMs: 7_000,
    items: Array.from({ length: count }, (_, at) => ({
      id: `${id}-${at}`,
      target: "/a/b",
      headers: ["Model", "m"],
      body: new Uint8Array(600),
      group: "g",
      promptTokens: 1,
      expectedTokens,
      scoring: null,
    })),
  };
}

test("an empty store accepts a batch whose estimated growth exceeds its memory", () => {
  const machine = new BatchesMachine();
  const limit = batchStateLimit(230_000_000);
  const admission = new BatchAdmission({
    machine,
    clock: new VirtualClock(0),
    limitBytes: () => limit,
  });
  const batch = batchOf("big", 2_500, 8_192);
  const body = encodeValue({
    machine: "batches",
    command: { kind: "accept", batch, keepMs: 1 },
  });
  assert.ok(body.length < 4 * 1_048_576, `${body.length}`);
  assert.equal(admission.admit(batch), true);
});
