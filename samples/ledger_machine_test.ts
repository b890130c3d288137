import assert from "node:assert/strict";
import { test } from "node:test";
import type { Failure, Result, TrainerEntry } from "#core";
import { HOLDER_LEASE_MS } from "./ledger_leases.ts";
import { LedgerMachine } from "./ledger_machine.ts";
import type { LeaseReply, LedgerReply } from "./ledger_types.ts";

const WEIGHTS: ReadonlyMap<string, number> = new Map([
  ["tuner", 1],
  ["drafter", 3],
]);

class LedgerHarness {
  readonly machine = new LedgerMachine({ findTrainer: findTrainer });
  nowMs = 0;
  #index = 0;

  apply(command: unknown): Result<LedgerReply, Failure> {
    this.#index += 1;
    return this.machine.apply({
      index: this.#index,
      atMs: this.nowMs,
      command,
    });
  }

  lease(options: {
    readonly returned?: readonly unknown[];
    readonly holder: string;
    readonly sequence: number;
    readonly limit: number;
    readonly epoch?: string;
  }): LeaseReply {
    const command = { kind: "lease", epoch: "1", returned: [], ...options };
    const reply = this.apply(command);
    assert.ok(reply.ok && reply.val.kind === "leased");
    return reply.val;
  }

  assertRejected(command: unknown, kind: string): void {
    const before = { ...this.machine.snapshot() as object };
    const reply = this.apply(command);
    assert.ok(reply.err);
    assert.equal(reply.val.kind, kind);
    assert.deepEqual(this.machine.snapshot(), before);
  }
}

function findTrainer(name: string): TrainerEntry | null {
  const weight = WEIGHTS.get(name);
  if (weight === undefined) return null;
  return {
    name,
    tenant: "tana",
    class: "drafting",
    model: "advice",
    scorer: "scorer",
    weight,
    maximumStaleness: 2,
  };
}

function submitCommand(trainer = "tuner", groups = 2): Record<string, unknown> {
  return {
    kind: "submit",
    trainer,
    step: 1,
    groupSize: 2,
    bound: 1,
    deadlineMs: 60_000,
    maximumTokens: 64,
    groups: Array.from(
      { length: groups },
      (_, group) => ({ group, prompt: `p${group}` }),
    ),
  };
}

function commitCommand(changes: Record<string, unknown>): unknown {
  return {
    kind: "commit",
    trainer: "tuner",
    step: 1,
    group: 0,
    samples: [1, 2].map(() => ({
      tokens: 4,
      versions: [{ version: 3, tokens: 4 }],
      score: 0,
      textBytes: 0,
    })),
    text: new Uint8Array(0),
    ...changes,
  };
}

test("an invalid step is rejected with a specific error kind and changes nothing", () => {
  const ledger = new LedgerHarness();
  const first = { group: 0, prompt: "p" };
  ledger.assertRejected({ ...submitCommand(), groups: [] }, "invalid_step");
  ledger.assertRejected(
    { ...submitCommand(), groups: [first, first] },
    "invalid_step",
  );
  ledger.assertRejected(
    { ...submitCommand(), bound: 3 },
    "bound_cannot_be_met",
  );
  ledger.assertRejected({ ...submitCommand(), bound: -1 }, "invalid_step");
  ledger.assertRejected({ ...submitCommand(), groupSize: 0 }, "invalid_step");
  ledger.assertRejected(
    { ...submitCommand(), groupSize: 1_024, maximumTokens: 1_048_576 },
    "invalid_step",
  );
  ledger.assertRejected(submitCommand("nobody"), "unknown_trainer");
});

test("an unknown trainer can't fetch samples, publish versions or query steps", () => {
  const ledger = new LedgerHarness();
  const trainer = "nobody";
  ledger.assertRejected(
    { kind: "publish", trainer, version: 1 },
    "unknown_trainer",
  );
  ledger.assertRejected(
    { kind: "deliver", trainer, after: "", limit: 1 },
    "unknown_trainer",
  );
  const step = ledger.machine.query({ kind: "step", trainer, step: 1 });
  assert.ok(step.err);
  assert.equal(step.val.kind, "unknown_trainer");
});

test("a lower version is a conflict, and publishing the same version again is not", () => {
  const ledger = new LedgerHarness();
  const publish = { kind: "publish", trainer: "tuner", version: 4 };
  assert.ok(ledger.apply(publish).ok);
  assert.ok(ledger.apply(publish).ok);
  ledger.assertRejected({ ...publish, version: 3 }, "conflict");
  ledger.assertRejected({ ...publish, trainer: "drafter" }, "conflict");
});

test("an incomplete group, or one whose versions cover too few tokens, is rejected", () => {
  const ledger = new LedgerHarness();
  ledger.apply(submitCommand());
  const short = [{
    tokens: 4,
    versions: [{ version: 3, tokens: 3 }],
    score: 0,
    textBytes: 0,
  }];
  ledger.assertRejected(commitCommand({ samples: short }), "malformed_request");
  ledger.assertRejected(
    commitCommand({ samples: [...short, ...short] }),
    "malformed_request",
  );
  ledger.assertRejected(commitCommand({ group: 9 }), "not_found");
  ledger.assertRejected(commitCommand({ step: 9 }), "not_found");
});

test("a repeated lease command after a lost reply returns the same groups", () => {
  const ledger = new LedgerHarness();
  ledger.apply(submitCommand("tuner", 6));
  const lease = { holder: "entry-1", sequence: 1, limit: 2 };
  const first = ledger.lease(lease);
  assert.deepEqual(ledger.lease(lease).groups, first.groups);
  const other = ledger.lease({ ...lease, holder: "entry-2" });
  const groups = [...first.groups, ...other.groups].map(({ group }) => group);
  assert.equal(new Set(groups).size, 4);
});

test("a group returned with a repeated lease command is reopened", () => {
  const ledger = new LedgerHarness();
  ledger.apply(submitCommand("tuner", 2));
  const lease = { holder: "entry-1", sequence: 1, limit: 2 };
  ledger.lease(lease);
  const returned = [{ trainer: "tuner", step: 1, group: 0 }];
  const repeated = ledger.lease({ ...lease, returned });
  assert.deepEqual(repeated.groups.map(({ group }) => group), [1]);
  const other = ledger.lease({ ...lease, holder: "entry-2" });
  assert.deepEqual(other.groups.map(({ group }) => group), [0]);
});

test("the groups of a restarted entry are reopened at once, those of an unresponsive one when its lease expires", () => {
  const ledger = new LedgerHarness();
  ledger.apply(submitCommand("tuner", 2));
  const lease = { holder: "entry-1", sequence: 1, limit: 9 };
  assert.equal(ledger.lease(lease).groups.length, 2);
  const restarted = ledger.lease({ ...lease, epoch: "2" });
  assert.equal(restarted.groups.length, 2);
  ledger.nowMs = HOLDER_LEASE_MS;
  const second = { holder: "entry-2", sequence: 1, limit: 9 };
  assert.equal(ledger.lease(second).groups.length, 0);
  ledger.nowMs = HOLDER_LEASE_MS + 1;
  assert.equal(ledger.lease({ ...second, sequence: 2 }).groups.length, 2);
  const lateReply = ledger.lease({ ...lease, epoch: "2", sequence: 2 });
  assert.equal(lateReply.renewed, false);
});

test("trainers share groups by weight, and a near deadline increases a trainer's share", () => {
  const ledger = new LedgerHarness();
  ledger.apply(submitCommand("tuner", 100));
  ledger.apply(submitCommand("drafter", 100));
  const lease = { holder: "entry-1", sequence: 1, limit: 40 };
  const early = ledger.lease(lease).groups;
  const drafterGroups = early.filter((group) => group.trainer === "drafter");
  assert.equal(drafterGroups.length, 30);
  const lateLedger = new LedgerHarness();
  lateLedger.apply(submitCommand("tuner", 100));
  lateLedger.nowMs = 45_000;
  lateLedger.apply(submitCommand("drafter", 100));
  const tunerGroups = lateLedger.lease(lease).groups.filter((group) =>
    group.trainer === "tuner"
  );
  assert.ok(tunerGroups.length > 20, `${tunerGroups.length} groups`);
});
