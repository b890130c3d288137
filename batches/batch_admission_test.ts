import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "#core";
import { encodeValue } from "#wire";
import { BatchAdmission } from "./batch_admission.ts";
import { batchStateLimit } from "./batch_state_limit.ts";
import { numberedItems, testBatch } from "./batch_test_support.ts";
import type { Batch } from "./batch_types.ts";
import { BatchesMachine } from "./batches_machine.ts";

function batchOf(id: string, count: number, expectedTokens: number): Batch {
  const headers = ["Model", "m"];
  const body = new Uint8Array(600);
  const fields = { headers, body, expectedTokens };
  return testBatch(id, numberedItems(id, count, fields));
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
