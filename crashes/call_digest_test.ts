import assert from "node:assert/strict";
import { test } from "node:test";
import { type CallContent, digestOf } from "./call_digest.ts";

const CONTENT: CallContent = {
  method: "POST",
  host: "h",
  target: "/a/b",
  caller: "c",
  body: Buffer.from("card"),
};

test("calls have the same digest if all of their content is the same, and only then", () => {
  const same = { ...CONTENT, body: Buffer.from("card") };
  assert.equal(digestOf(same), digestOf(CONTENT));
  const changes: readonly Partial<CallContent>[] = [
    { method: "PUT" },
    { host: "i" },
    { target: "/a/b?c" },
    { caller: "d" },
    { body: Buffer.from("cart") },
    { body: Buffer.alloc(0) },
    { target: "/a/bc", caller: "" },
  ];
  const digests = changes.map((change) => digestOf({ ...CONTENT, ...change }));
  assert.equal(new Set([digestOf(CONTENT), ...digests]).size, 8);
});
