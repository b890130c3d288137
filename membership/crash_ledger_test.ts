import assert from "node:assert/strict";
import { test } from "node:test";
import { MINUTE_MS, SeededRandom } from "#core";
import { CrashLedger } from "./crash_ledger.ts";
import type { CrashRecord } from "./crash_records.ts";

const CALL = { digest: "d", bodyBytes: 4 };

test("a call is a suspect from its first crash on, blocked after three incarnations, and cleared by a response", () => {
  const ledger = new CrashLedger();
  assert.equal(ledger.hasSuspectOfLength(4), false);
  assert.ok(ledger.recordCrash(CALL, "u1:1", 100));
  assert.ok(ledger.isSuspect("d"));
  assert.ok(ledger.hasSuspectOfLength(4));
  assert.equal(ledger.recordCrash(CALL, "u1:1", 110), false);
  ledger.recordCrash(CALL, "u1:2", 120);
  assert.equal(ledger.isBlocked("d"), false);
  ledger.recordCrash(CALL, "u2:1", 130);
  assert.ok(ledger.isBlocked("d"));
  assert.ok(ledger.hasCrashed("u1:2", 200));
  assert.ok(ledger.recordAnswer(CALL, 140));
  assert.equal(ledger.isSuspect("d"), false);
  assert.equal(ledger.hasSuspectOfLength(4), false);
});

test("ledgers that get the same reports late, twice and in any order agree", () => {
  const random = new SeededRandom(34);
  for (let run = 0; run < 200; run += 1) {
    const source = new CrashLedger();
    const reports: { readonly record: CrashRecord; readonly atMs: number }[] =
      [];
    for (let step = 1; step <= 12; step += 1) {
      const atMs = step * 1_000;
      const call = { digest: `d${random.below(3)}`, bodyBytes: 4 };
      if (random.fraction() < 0.2) source.recordAnswer(call, atMs);
      else source.recordCrash(call, `u${random.below(9)}:1`, atMs);
      const record = source.recordOf(call.digest, atMs);
      if (record !== undefined) reports.push({ record, atMs });
    }
    const copies = [new CrashLedger(), new CrashLedger()];
    for (const copy of copies) {
      const shuffled = [...reports, ...reports]
        .map((report) => ({ report, key: random.fraction() }))
        .toSorted((a, b) => a.key - b.key);
      for (const { report: { record, atMs } } of shuffled) {
        const lateMs = 13_000 - atMs;
        copy.merge([aged(record, lateMs)], 13_000);
      }
      for (const digest of ["d0", "d1", "d2"]) {
        const known = new Set(copy.incarnationsOf(digest));
        assert.deepEqual(known, new Set(source.incarnationsOf(digest)));
      }
    }
  }
});

test("a report of a crash that arrives after the response which refutes it does not make the call a suspect", () => {
  const ledger = new CrashLedger();
  const answered = { ...CALL, crashes: [], answeredAgeMs: 10 };
  ledger.merge([answered], 1_000);
  const crashes = [{ incarnation: "u1:1", ageMs: 50 }];
  ledger.merge([{ ...CALL, crashes, answeredAgeMs: null }], 1_005);
  assert.equal(ledger.isSuspect("d"), false);
});

test("a flood of other suspects does not displace a blocked call", () => {
  const ledger = new CrashLedger();
  for (const id of ["u1:1", "u2:1", "u3:1"]) ledger.recordCrash(CALL, id, 0);
  for (let at = 0; at < 2_000; at += 1) {
    const other = { digest: `other ${at}`, bodyBytes: 4 };
    ledger.recordCrash(other, `u${at}:2`, 1_000 + at);
  }
  assert.ok(ledger.isBlocked("d"));
  assert.ok(ledger.since(0, 4_000).length <= 512);
});

test("a suspect is forgotten after some minutes, a blocked call is not", () => {
  const ledger = new CrashLedger();
  ledger.recordCrash({ digest: "once", bodyBytes: 4 }, "u1:1", 0);
  for (const id of ["u1:1", "u2:1", "u3:1"]) ledger.recordCrash(CALL, id, 0);
  ledger.expire(11 * MINUTE_MS);
  assert.equal(ledger.isSuspect("once"), false);
  assert.ok(ledger.isBlocked("d"));
});

function aged(record: CrashRecord, byMs: number): CrashRecord {
  const { answeredAgeMs } = record;
  return {
    ...record,
    crashes: record.crashes.map((each) => ({
      ...each,
      ageMs: each.ageMs + byMs,
    })),
    answeredAgeMs: answeredAgeMs === null ? null : answeredAgeMs + byMs,
  };
}

test("an upstream that is still listed some seconds after a crash was seen counts as up", () => {
  const ledger = new CrashLedger();
  ledger.recordCrash(CALL, "u1:1", 0);
  assert.ok(ledger.hasCrashed("u1:1", 9_000));
  assert.equal(ledger.hasCrashed("u1:1", 11_000), false);
});
