import assert from "node:assert/strict";
import { test } from "node:test";
import { MEBIBYTE, SeededRandom } from "#core";
import { encodeVoterChange, type LogEntry, type Voter } from "./entries.ts";
import type { Message, MessageOf } from "./messages.ts";
import { Replica } from "./replica.ts";
import type { OutgoingMessage } from "./replica_state.ts";
import { DEFAULT_TIMING } from "./timing.ts";

const SEATS: readonly Voter[] = ["a", "b", "c"].map((vm) => ({
  replica: `replica-${vm}`,
  vm,
}));
const GROUP = "group";
const START_MS = 10_000;
const LATER = { nowMs: START_MS + 3_000, wallMs: 0 };

function seatsEntry(): LogEntry {
  const body = encodeVoterChange({ before: [], after: SEATS });
  return { index: 1, term: 1, atMs: 0, kind: "seats", body };
}

function replicaOf(vm: string): Replica {
  return new Replica({
    vm,
    recovered: {
      identity: `replica-${vm}`,
      isNew: false,
      hard: { term: 1, votedFor: null, group: GROUP, committedSeatsIndex: 0 },
      base: { index: 0, term: 0 },
      entries: [seatsEntry()],
      snapshot: null,
      descriptor: null,
    },
    timing: DEFAULT_TIMING,
    random: new SeededRandom(1),
    nowMs: START_MS,
    initialVoters: undefined,
    peers: () => ["a", "b", "c"],
    report: () => {},
  });
}

function only(messages: readonly OutgoingMessage[], kind: string): Message[] {
  return messages.map((each) => each.message)
    .filter((message) => message.kind === kind);
}

function vote(
  from: string,
  change: Partial<MessageOf<"vote">> = {},
): MessageOf<"vote"> {
  return {
    kind: "vote",
    group: GROUP,
    from,
    to: null,
    term: 2,
    trial: false,
    handover: false,
    lastIndex: 1,
    lastTerm: 1,
    ...change,
  };
}

/** Lets replica a win an election of term 2; its batch is not synced yet. */
function leading(): Replica {
  const replica = replicaOf("a");
  replica.tick(LATER);
  for (const trial of [true, false]) {
    const taken = replica.nextSyncBatch(LATER.nowMs);
    if (taken !== undefined) replica.markSynced(taken);
    const reply: MessageOf<"voteReply"> = {
      kind: "voteReply",
      group: GROUP,
      from: "replica-b",
      to: "replica-a",
      term: trial ? 1 : 2,
      trial,
      round: 2,
      granted: true,
      committedIndex: 0,
      committedTerm: 0,
    };
    replica.receive("b", reply, LATER);
  }
  assert.equal(replica.state.role, "leader");
  return replica;
}

function acknowledge(replica: Replica, from: string, index: number): void {
  replica.receive(from, {
    kind: "appendReply",
    group: GROUP,
    from: `replica-${from}`,
    to: "replica-a",
    term: 2,
    matched: true,
    index,
    committedIndex: 0,
    sentMs: LATER.nowMs,
  }, LATER);
}

test("a vote leaves only once it is on the disk, and a second candidate gets none", () => {
  const replica = replicaOf("c");
  replica.receive("a", vote("replica-a"), LATER);
  assert.deepEqual(only(replica.drainReadyMessages(), "voteReply"), []);
  const taken = replica.nextSyncBatch(LATER.nowMs);
  assert.equal(taken?.batch.hard?.votedFor, "replica-a");
  const [reply] = only(taken?.messagesAfterSync ?? [], "voteReply");
  assert.equal((reply as MessageOf<"voteReply">).granted, true);
  replica.receive("b", vote("replica-b"), LATER);
  const held = replica.drainReadyMessages();
  const [second] = only(held, "voteReply") as MessageOf<"voteReply">[];
  assert.notEqual(second?.granted, true);
});

test("a leader commits only what a majority has on its disks, itself included", () => {
  const replica = leading();
  const taken = replica.nextSyncBatch(LATER.nowMs);
  assert.ok(taken !== undefined);
  acknowledge(replica, "b", 2);
  assert.equal(replica.state.committedIndex, 0);
  replica.markSynced(taken);
  assert.equal(replica.state.committedIndex, 2);
});

test("a replica that was restarted waits before it elects another leader", () => {
  const replica = replicaOf("c");
  const soon = { nowMs: START_MS + 100, wallMs: 0 };
  replica.receive("a", vote("replica-a"), soon);
  assert.equal(replica.state.term, 1);
  assert.equal(replica.nextSyncBatch(soon.nowMs), undefined);
});

test("messages for the replica that the VM ran before are dropped", () => {
  const replica = replicaOf("c");
  replica.receive("a", vote("replica-a", { to: "lost-replica" }), LATER);
  assert.equal(replica.state.votedFor, null);
});

test("a lease needs a majority of answers and ends without them", () => {
  const replica = leading();
  assert.equal(replica.leaseUntilMs(LATER.nowMs), 0);
  acknowledge(replica, "b", 1);
  assert.equal(
    replica.leaseUntilMs(LATER.nowMs),
    LATER.nowMs + DEFAULT_TIMING.leaseMs,
  );
  const over = LATER.nowMs + DEFAULT_TIMING.leaseMs;
  assert.equal(replica.leaseUntilMs(over), 0);
});

test("a change of seats needs majorities of both lists until it is committed", () => {
  const replica = leading();
  const added = { replica: "replica-d", vm: "c" };
  const after = [SEATS[0] as Voter, SEATS[1] as Voter, added];
  const body = encodeVoterChange({ before: SEATS, after });
  replica.appendEntry("seats", body, LATER);
  const joint = replica.state.quorum();
  assert.equal(joint.isQuorum(new Set(["replica-a", "replica-d"])), false);
  assert.equal(joint.isQuorum(new Set(["replica-a", "replica-b"])), true);
});

test("a replica whose seat was taken asks for one once it hears no leader", () => {
  const replica = replicaOf("a");
  const after = [SEATS[1] as Voter, SEATS[2] as Voter];
  const body = encodeVoterChange({ before: SEATS, after });
  replica.receive("b", {
    kind: "append",
    group: GROUP,
    from: "replica-b",
    to: "replica-a",
    term: 2,
    previousIndex: 1,
    previousTerm: 1,
    committedIndex: 2,
    sentMs: 0,
    entries: [[2, 2, 0, "seats", body as Uint8Array<ArrayBuffer>]],
  }, LATER);
  const silent = { nowMs: LATER.nowMs + 3_000, wallMs: 0 };
  replica.tick(silent);
  replica.tick({ nowMs: silent.nowMs + 3_000, wallMs: 0 });
  assert.equal(only(replica.drainReadyMessages(), "hello").length, 2);
});

test("a leader sends a replica that does not answer no more than one window of entries a second", () => {
  const replica = leading();
  const entryBytes = 100_000;
  let sentBytes = 0;
  let nowMs = LATER.nowMs;
  for (let step = 0; step < 39; step += 1) {
    nowMs += 25;
    const instant = { nowMs, wallMs: 0 };
    replica.appendEntry("command", new Uint8Array(entryBytes), instant);
    const taken = replica.nextSyncBatch(nowMs);
    if (taken !== undefined) replica.markSynced(taken);
    replica.tick(instant);
    for (const { vm, message } of replica.drainReadyMessages()) {
      if (message.kind !== "append") continue;
      if (vm === "b") {
        for (const entry of message.entries) sentBytes += entry[4].length;
        continue;
      }
      const reply: MessageOf<"appendReply"> = {
        kind: "appendReply",
        group: GROUP,
        from: "replica-c",
        to: "replica-a",
        term: 2,
        matched: true,
        index: message.previousIndex + message.entries.length,
        committedIndex: 0,
        sentMs: message.sentMs,
      };
      replica.receive("c", reply, instant);
    }
  }
  assert.equal(replica.state.role, "leader");
  assert.ok(sentBytes <= MEBIBYTE + entryBytes, `${sentBytes} bytes were sent`);
});
