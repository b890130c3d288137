import assert from "node:assert/strict";
import { generateKeyPairSync } from "node:crypto";
import { test } from "node:test";
import fc from "fast-check";
import {
  type AcceptedBundle,
  type Bundle,
  type Failure,
  MEBIBYTE,
  type SignedBundle,
} from "#core";
import { applyDelta } from "./bundle_delta.ts";
import { parseBundle } from "./bundle_schema.ts";
import {
  bundleDigest,
  encodePublicKey,
  signBundle,
} from "./bundle_signature.ts";
import { type BundleReceipt, BundlesMachine } from "./bundles_machine.ts";
import { sampleBundle } from "./sample_bundle.ts";

const AWA_KEYS = generateKeyPairSync("ed25519");
const STRANGER_KEYS = generateKeyPairSync("ed25519");
const OPERATORS = [{
  name: "awa",
  publicKey: encodePublicKey(AWA_KEYS.publicKey),
}];

function sign(bundle: Bundle, key = AWA_KEYS): SignedBundle {
  return signBundle(bundle, { signer: "awa", privateKey: key.privateKey });
}

function firstBundle(): Bundle {
  return parseBundle(sampleBundle({ operators: OPERATORS })).unwrap();
}

function nextBundle(current: AcceptedBundle, weight: number): Bundle {
  const bundle = current.signed.bundle;
  return {
    ...bundle,
    version: bundle.version + 1,
    predecessor: current.digest,
    tenants: bundle.tenants.map((tenant) => ({ ...tenant, weight })),
  };
}

class MachineDriver {
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

test("of two bundles with the same version one is accepted, and the rejection of the other names its digest", () => {
  const driver = new MachineDriver();
  driver.accept(sign(firstBundle()));
  const base = driver.current();
  const winner = sign(nextBundle(base, 2));
  const receipt = driver.accept(winner) as BundleReceipt;
  const rejected = driver.accept(sign(nextBundle(base, 3))) as Failure;
  assert.equal(rejected.kind, "version_conflict");
  assert.equal(rejected.detail, receipt.digest);
  assert.deepEqual(driver.accept(winner), receipt);
});

test("an old bundle that is submitted again returns its first receipt and does not become active again", () => {
  const driver = new MachineDriver();
  const oldest = sign(firstBundle());
  const receipt = driver.accept(oldest);
  driver.accept(sign(nextBundle(driver.current(), 2)));
  driver.accept(sign(nextBundle(driver.current(), 3)));
  assert.deepEqual(driver.accept(oldest), receipt);
  assert.equal(driver.current().signed.bundle.version, 3);
});

test("unsigned, altered and out-of-order bundles, and bundles signed by others, change nothing", () => {
  const driver = new MachineDriver();
  driver.accept(sign(firstBundle()));
  const base = driver.current();
  const good = nextBundle(base, 2);
  const cases: readonly [SignedBundle, string][] = [
    [{ bundle: good, signer: "awa", signature: "" }, "bad_signature"],
    [sign(good, STRANGER_KEYS), "bad_signature"],
    [{ ...sign(good), signer: "moussa" }, "bad_signature"],
    [{ ...sign(good), bundle: nextBundle(base, 9) }, "bad_signature"],
    [sign({ ...good, version: 7 }), "missing_predecessor"],
    [sign({ ...good, predecessor: "0".repeat(64) }), "missing_predecessor"],
    [sign({ ...good, cluster: "other" }), "invalid_bundle"],
  ];
  for (const [command, kind] of cases) {
    assert.equal((driver.accept(command) as Failure).kind, kind);
  }
  assert.deepEqual(driver.current(), base);
});

test("a bundle with an unknown field, a duplicate name or a missing zone is invalid", () => {
  const unknown = parseBundle({ ...firstBundle(), colour: "red" });
  assert.equal(unknown.ok, false);
  const bundle = firstBundle();
  const duplicate = parseBundle({
    ...bundle,
    zones: [...bundle.zones, bundle.zones[0]],
  });
  assert.deepEqual(duplicate.val, [
    { field: "zones", message: "the name a is used twice" },
  ]);
  const missing = parseBundle({ ...bundle, zones: bundle.zones.slice(1) });
  assert.equal(missing.ok, false);
});

test("the machine agrees with a model under rival submissions, resubmissions and snapshot restores", () => {
  const command = fc.record({
    kind: fc.constantFrom("next", "rival", "resend", "foreign", "snapshot"),
    pick: fc.nat(20),
    weight: fc.integer({ min: 1, max: 50 }),
  }, { noNullPrototype: true });
  fc.assert(
    fc.property(fc.array(command, { maxLength: 25 }), (commands) => {
      const driver = new MachineDriver();
      driver.accept(sign(firstBundle()));
      const model: SignedBundle[] = [driver.current().signed];
      for (const { kind, pick, weight } of commands) {
        const before = driver.current();
        const resent = model[pick % model.length] as SignedBundle;
        if (kind === "next") {
          const command = sign(nextBundle(before, weight));
          model.push(command);
          driver.accept(command);
        }
        if (kind === "resend") {
          const receipt = driver.accept(resent) as BundleReceipt;
          assert.equal(receipt.digest, bundleDigest(resent.bundle));
        }
        if (kind === "rival") {
          const rival = { ...resent.bundle, cluster: "sample" };
          const other = sign({
            ...rival,
            limits: { ...rival.limits, claimsStored: 1_000_000 - weight },
          });
          assert.equal(
            (driver.accept(other) as Failure).kind,
            "version_conflict",
          );
        }
        if (kind === "foreign") {
          driver.accept(sign(nextBundle(before, 2), STRANGER_KEYS));
        }
        if (kind === "snapshot") {
          driver.machine.restore(structuredClone(driver.machine.snapshot()));
        }
        assert.deepEqual(driver.current().signed, model.at(-1));
      }
    }),
    { seed: 41, numRuns: 200 },
  );
});

test("a delta from any retained bundle produces the newest one, byte for byte", () => {
  const driver = new MachineDriver();
  driver.accept(sign(firstBundle()));
  const accepted: AcceptedBundle[] = [driver.current()];
  for (let version = 2; version < 10; version += 1) {
    const base = nextBundle(driver.current(), version);
    const zones = version % 2 === 0
      ? [...base.zones, { name: `z${version}`, region: "home" }]
      : base.zones.filter((zone) => zone.name.length === 1);
    driver.accept(sign(parseBundle({ ...base, zones }).unwrap()));
    accepted.push(driver.current());
  }
  for (const each of accepted.slice(0, -1)) {
    const update = driver.machine.updateSince(each.digest);
    assert.equal(update.kind, "delta");
    if (update.kind !== "delta") continue;
    assert.deepEqual(applyDelta(each, update.delta).unwrap(), driver.current());
  }
  assert.equal(driver.machine.updateSince("unknown").kind, "whole");
});

test("the retained bundles are bounded by their size, so that large ones don't fill the memory of a control VM", () => {
  const driver = new MachineDriver();
  driver.accept(sign(firstBundle()));
  const digests: string[] = [];
  const base = driver.current().signed.bundle.tenants;
  const added = Array.from({ length: 4_000 }, (_, number) => ({
    name: `t${number}`.padEnd(64, "x"),
    weight: 1,
    maximumOutstanding: 4_096,
  }));
  for (let weight = 2; weight < 12; weight += 1) {
    const next = nextBundle(driver.current(), weight);
    const tenants = [...base, ...added].map((each) => ({ ...each, weight }));
    const bundle = parseBundle({ ...next, tenants }).unwrap();
    const receipt = driver.accept(sign(bundle)) as BundleReceipt;
    digests.push(receipt.digest);
  }
  const snapshot = JSON.stringify(driver.machine.snapshot());
  assert.ok(
    snapshot.length < 5 * MEBIBYTE,
    `the state has ${snapshot.length} bytes`,
  );
  const kindOf = (digest: string | undefined): string =>
    driver.machine.updateSince(digest ?? null).kind;
  assert.equal(kindOf(digests.at(-1)), "none");
  assert.equal(kindOf(digests.at(-2)), "delta");
  assert.equal(kindOf(digests[0]), "whole");
});
