import assert from "node:assert/strict";
import { test } from "node:test";
import { KIBIBYTE, MemoryEventLog, VirtualClock } from "#core";
import { Applier } from "./applier.ts";
import type { LogEntry } from "./entries.ts";
import { MachineHost } from "./machine_host.ts";
import { Proposals } from "./proposals.ts";
import type { Replica } from "./replica.ts";

const ENTRY_BYTES = 400 * KIBIBYTE;
const ENTRIES = 7;

function committedEntry(index: number): LogEntry | undefined {
  if (index > ENTRIES) return undefined;
  const body = new Uint8Array(ENTRY_BYTES);
  return { index, term: 1, atMs: 0, kind: "barrier", body };
}

test("a replica that catches up on a large log applies it in steps, so that its heartbeats are not late", () => {
  const replica = { committedEntry, state: { leader: null } };
  const applier = new Applier({
    host: new MachineHost([], new MemoryEventLog()),
    proposals: new Proposals(new VirtualClock(0), 1_000),
  });
  const steps: number[] = [];
  let more = true;
  while (more) {
    more = applier.advance(replica as unknown as Replica);
    steps.push(applier.appliedIndex);
  }
  assert.deepEqual(steps, [3, 6, 7]);
});

test("a replica applies nothing while it restores a snapshot, and then what was committed meanwhile", () => {
  const replica = { committedEntry, state: { leader: null } };
  const applier = new Applier({
    host: new MachineHost([], new MemoryEventLog()),
    proposals: new Proposals(new VirtualClock(0), 1_000),
  });
  const restoration = applier.startRestoration();
  assert.equal(applier.advance(replica as unknown as Replica), false);
  assert.equal(applier.appliedIndex, 0);
  applier.finishRestoration(restoration, 5);
  applier.advance(replica as unknown as Replica);
  assert.equal(applier.appliedIndex, ENTRIES);
});
