import assert from "node:assert/strict";
import { generateKeyPairSync } from "node:crypto";
import { test } from "node:test";
import fc from "fast-check";
import type { AcceptedBundle, Bundle, Failure, SignedBundle } from "#core";
import { applyDelta } from "./bundle_delta.ts";
import { parseBundle } from "./bundle_schema.ts";
import {
  bundleDigest,
  encodePublicKey,
  signBundle,
} from "./bundle_signature.ts";
import { type BundleReceipt, BundlesMachine } from "./bundles_machine.ts";
import { sampleBundle } from "./sample_bundle.ts";

const AWA = generateKeyPairSync("ed25519");
const STRANGER = generateKeyPairSync("ed25519");
const OPERATORS = [{ name: "awa", publicKey: encodePublicKey(AWA.publicKey) }];

function signed(bundle: Bundle, key = AWA): SignedBundle {
  return signBundle(bundle, { signer: "awa", privateKey: key.privateKey });
}

function first(): Bundle {
  return parseBundle(sampleBundle({ operators: OPERATORS })).unwrap();
}

function next(current: AcceptedBundle, weight: number): Bundle {
  const bundle = current.signed.bundle;
  return {
    ...bundle,
    version: bundle.version + 1,
    predecessor: current.digest,
    tenants: bundle.tenants.map((tenant) => ({ ...tenant, weight })),
  };
}

class Driver {
  readonly machine = new BundlesMachine();
  #index = 0;

  accept(command: SignedBundle): BundleReceipt | Failure {
    this.#index += 1;
    const entry = {
      index: this.#index,
      atMs: this.#index * 10,
      command: { kind: "accept" as const, signed: command },
    };
    return this.machine.apply(entry).val;
  }

  current(): AcceptedBundle {
    const current = this.machine.current();
    assert.notEqual(current, null);
    return current as AcceptedBundle;
  }
}

test("of two bundles with equal versions one wins and the other is told which", () => {
  const driver = new Driver();
  driver.accept(signed(first()));
  const base = driver.current();
  const winner = signed(next(base, 2));
  const receipt = driver.accept(winner) as BundleReceipt;
  const refused = driver.accept(signed(next(base, 3))) as Failure;
  assert.equal(refused.kind, "version_conflict");
  assert.equal(refused.detail, receipt.digest);
  assert.deepEqual(driver.accept(winner), receipt);
});

test("an old bundle sent again gets its first answer and does not come back into force", () => {
  const driver = new Driver();
  const oldest = signed(first());
  const receipt = driver.accept(oldest);
  driver.accept(signed(next(driver.current(), 2)));
  driver.accept(signed(next(driver.current(), 3)));
  assert.deepEqual(driver.accept(oldest), receipt);
  assert.equal(driver.current().signed.bundle.version, 3);
});

test("unsigned, foreign, altered and out-of-order bundles change nothing", () => {
  const driver = new Driver();
  driver.accept(signed(first()));
  const base = driver.current();
  const good = next(base, 2);
  const cases: readonly [SignedBundle, string][] = [
    [{ bundle: good, signer: "awa", signature: "" }, "bad_signature"],
    [signed(good, STRANGER), "bad_signature"],
    [{ ...signed(good), signer: "moussa" }, "bad_signature"],
    [{ ...signed(good), bundle: next(base, 9) }, "bad_signature"],
    [signed({ ...good, version: 7 }), "missing_predecessor"],
    [signed({ ...good, predecessor: "0".repeat(64) }), "missing_predecessor"],
    [signed({ ...good, cluster: "other" }), "invalid_bundle"],
  ];
  for (const [command, kind] of cases) {
    assert.equal((driver.accept(command) as Failure).kind, kind);
  }
  assert.deepEqual(driver.current(), base);
});

test("a bundle with an unknown field, a doubled name or a missing zone names the field", () => {
  const unknown = parseBundle({ ...first(), colour: "red" });
  assert.equal(unknown.ok, false);
  const bundle = first();
  const doubled = parseBundle({
    ...bundle,
    zones: [...bundle.zones, bundle.zones[0]],
  });
  assert.deepEqual(doubled.val, [
    { field: "zones", message: "the name a is used twice" },
  ]);
  const missing = parseBundle({ ...bundle, zones: bundle.zones.slice(1) });
  assert.equal(missing.ok, false);
});

test("the machine agrees with a register under races, resends and replays", () => {
  const command = fc.record({
    kind: fc.constantFrom("next", "rival", "resend", "foreign", "snapshot"),
    pick: fc.nat(20),
    weight: fc.integer({ min: 1, max: 50 }),
  }, { noNullPrototype: true });
  fc.assert(
    fc.property(fc.array(command, { maxLength: 25 }), (commands) => {
      const driver = new Driver();
      driver.accept(signed(first()));
      const register: SignedBundle[] = [driver.current().signed];
      for (const { kind, pick, weight } of commands) {
        const before = driver.current();
        const resent = register[pick % register.length] as SignedBundle;
        if (kind === "next") {
          const command = signed(next(before, weight));
          register.push(command);
          driver.accept(command);
        }
        if (kind === "resend") {
          const answer = driver.accept(resent) as BundleReceipt;
          assert.equal(answer.digest, bundleDigest(resent.bundle));
        }
        if (kind === "rival") {
          const rival = { ...resent.bundle, cluster: "sample" };
          const other = signed({
            ...rival,
            limits: { ...rival.limits, claimsStored: 1_000_000 - weight },
          });
          assert.equal(
            (driver.accept(other) as Failure).kind,
            "version_conflict",
          );
        }
        if (kind === "foreign") {
          driver.accept(signed(next(before, 2), STRANGER));
        }
        if (kind === "snapshot") {
          driver.machine.restore(structuredClone(driver.machine.snapshot()));
        }
        assert.deepEqual(driver.current().signed, register.at(-1));
      }
    }),
    { seed: 41, numRuns: 200 },
  );
});

test("a delta from any kept bundle gives the newest one, byte for byte", () => {
  const driver = new Driver();
  driver.accept(signed(first()));
  const held: AcceptedBundle[] = [driver.current()];
  for (let version = 2; version < 10; version += 1) {
    const base = next(driver.current(), version);
    const zones = version % 2 === 0
      ? [...base.zones, { name: `z${version}`, region: "home" }]
      : base.zones.filter((zone) => zone.name.length === 1);
    driver.accept(signed(parseBundle({ ...base, zones }).unwrap()));
    held.push(driver.current());
  }
  for (const each of held.slice(0, -1)) {
    const update = driver.machine.updateSince(each.digest);
    assert.equal(update.kind, "delta");
    if (update.kind !== "delta") continue;
    assert.deepEqual(applyDelta(each, update.delta).unwrap(), driver.current());
  }
  assert.equal(driver.machine.updateSince("unknown").kind, "whole");
});
