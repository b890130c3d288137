import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { decodeValue, encodeValue } from "#wire";
import {
  ClaimsMachine,
  MAXIMUM_STORED_ANSWER_BYTES,
  MAXIMUM_STORED_ANSWERS_BYTES,
} from "./claims.ts";

const RETENTION_MS = 1_000;
const MAXIMUM = 3;

interface Step {
  readonly operation: "claim" | "store" | "withdraw" | "snapshot";
  readonly key: string;
  readonly token: string;
  readonly fingerprint: string;
  readonly passMs: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  operation: fc.constantFrom("claim", "claim", "store", "withdraw", "snapshot"),
  key: fc.constantFrom("a", "b", "c", "d", "e"),
  token: fc.constantFrom("1", "2", "3"),
  fingerprint: fc.constantFrom("f", "f", "f", "g"),
  passMs: fc.constantFrom(0, 0, 10, 400),
}, { noNullPrototype: true });

function answer(body: string): unknown {
  return {
    status: 200,
    headers: {},
    body: new TextEncoder().encode(body),
    upstream: "u",
  };
}

function commandOf(step: Step): unknown {
  const { operation, key } = step;
  const token = `${key}${step.token}`;
  if (operation === "store") {
    return { operation, key, token, answer: answer(token) };
  }
  if (operation === "withdraw") return { operation, key, token };
  return {
    operation,
    key,
    token,
    fingerprint: step.fingerprint,
    retentionMs: RETENTION_MS,
    maximumStored: MAXIMUM,
  };
}

interface ExpectedClaim {
  readonly token: string;
  readonly fingerprint: string;
  readonly expiresAtMs: number;
  stored: boolean;
}

/** Test oracle: returns the expected result of a command from a plain map. */
class ClaimOracle {
  readonly #claims = new Map<string, ExpectedClaim>();
  readonly #withdrawn = new Set<string>();

  apply(step: Step, atMs: number): string {
    for (const [key, claim] of this.#claims) {
      if (claim.expiresAtMs <= atMs) this.#claims.delete(key);
    }
    const token = `${step.key}${step.token}`;
    const claim = this.#claims.get(step.key);
    const isOwn = claim?.token === token;
    if (step.operation === "store") {
      if (isOwn) claim.stored = true;
      return "done";
    }
    if (step.operation === "withdraw") {
      if (isOwn && !claim.stored) this.#claims.delete(step.key);
      this.#withdrawn.add(token);
      return "done";
    }
    if (this.#withdrawn.has(token)) return "conflict";
    if (claim !== undefined) {
      if (claim.fingerprint !== step.fingerprint) return "conflict";
      if (claim.stored) return `answered ${claim.token}`;
      return isOwn ? "granted" : "open";
    }
    if (this.#claims.size >= MAXIMUM) return "too_many_requests";
    this.#claims.set(step.key, {
      token,
      fingerprint: step.fingerprint,
      expiresAtMs: atMs + RETENTION_MS,
      stored: false,
    });
    return "granted";
  }
}

function resultOf(machine: ClaimsMachine, entry: {
  readonly index: number;
  readonly atMs: number;
  readonly command: unknown;
}): string {
  const reply = machine.apply(entry);
  if (!reply.ok) return reply.val.kind;
  if (reply.val.state !== "answered") return reply.val.state;
  return `answered ${new TextDecoder().decode(reply.val.answer.body)}`;
}

test("claims match a plain map, also after restoring a snapshot", () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 40 }), (steps) => {
      let machine = new ClaimsMachine();
      const oracle = new ClaimOracle();
      let atMs = 5;
      for (const [index, step] of steps.entries()) {
        atMs += step.passMs;
        if (step.operation === "snapshot") {
          const state = decodeValue(encodeValue(machine.snapshot()));
          machine = new ClaimsMachine();
          machine.restore(state);
          continue;
        }
        const command = decodeValue(encodeValue(commandOf(step)));
        assert.equal(
          resultOf(machine, { index, atMs, command }),
          oracle.apply(step, atMs),
        );
      }
    }),
    { seed: 8, numRuns: 1_000 },
  );
});

test("a response that is too long to store leaves only the fact that the request ran", () => {
  const machine = new ClaimsMachine();
  const claim = { ...commandOf(stepOf("claim")) as object };
  machine.apply({ index: 1, atMs: 0, command: claim });
  machine.apply({
    index: 2,
    atMs: 0,
    command: {
      operation: "store",
      key: "a",
      token: "a1",
      answer: answer("x".repeat(MAXIMUM_STORED_ANSWER_BYTES + 1)),
    },
  });
  const again = commandOf({ ...stepOf("claim"), token: "2" });
  assert.equal(
    resultOf(machine, { index: 3, atMs: 0, command: again }),
    "answer_not_kept",
  );
});

test("all stored responses together are bounded, so that they don't fill the memory of a control VM", () => {
  let machine = new ClaimsMachine();
  let atMs = 0;
  const body = "x".repeat(MAXIMUM_STORED_ANSWER_BYTES);
  const claim = (key: string): string | undefined => {
    const command = {
      operation: "claim",
      key,
      token: key,
      fingerprint: "f",
      retentionMs: RETENTION_MS,
      maximumStored: 10_000,
    };
    const result = machine.apply({ index: 1, atMs, command });
    return result.ok ? result.val.state : undefined;
  };
  const store = (key: string): void => {
    const operation = "store";
    const command = { operation, key, token: key, answer: answer(body) };
    machine.apply({ index: 1, atMs, command });
  };
  const count = MAXIMUM_STORED_ANSWERS_BYTES / MAXIMUM_STORED_ANSWER_BYTES;
  for (let number = 0; number < count; number += 1) {
    assert.equal(claim(`k${number}`), "granted");
    store(`k${number}`);
  }
  assert.equal(claim("k0"), "answered");
  assert.equal(claim(`k${count - 1}`), "answer_not_kept");
  const restored = new ClaimsMachine();
  restored.restore(decodeValue(encodeValue(machine.snapshot())));
  machine = restored;
  claim("after");
  store("after");
  assert.equal(claim("after"), "answer_not_kept");
  atMs = RETENTION_MS;
  assert.equal(claim("later"), "granted");
  store("later");
  assert.equal(claim("later"), "answered");
});

test("malformed commands are rejected and change nothing", () => {
  const machine = new ClaimsMachine();
  for (const command of [null, 7, {}, { operation: "claim", key: "" }]) {
    const kind = resultOf(machine, { index: 1, atMs: 0, command });
    assert.equal(kind, "malformed_request");
  }
  assert.deepEqual(machine.query({ question: "count" }).val, { claims: 0 });
});

function stepOf(operation: Step["operation"]): Step {
  return { operation, key: "a", token: "1", fingerprint: "f", passMs: 0 };
}
