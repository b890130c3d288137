import assert from "node:assert/strict";
import { test } from "node:test";
import { MEBIBYTE, SeededRandom } from "#core";
import { encodeVoterChange, type LogEntry, type Voter } from "./entries.ts";
import type { Message, MessageOf } from "./messages.ts";
import { Replica, type ReplicaOptions } from "./replica.ts";
import type { OutgoingMessage } from "./replica_state.ts";
import { DEFAULT_TIMING } from "./timing.ts";

const VOTERS: readonly Voter[] = ["a", "b", "c"].map((vm) => ({
  replica: `replica-${vm}`,
  vm,
}));
const GROUP = "group";
const START_MS = 10_000;
const AFTER_ELECTION_TIMEOUT = { nowMs: START_MS + 3_000, wallMs: 0 };

function voterChangeEntry(): LogEntry {
  const body = encodeVoterChange({ before: [], after: VOTERS });
  return { index: 1, term: 1, atMs: 0, kind: "seats", body };
}

function createReplica(
  vm: string,
  change: Partial<ReplicaOptions> = {},
): Replica {
  return new Replica({
    vm,
    recovered: {
      identity: `replica-${vm}`,
      isNew: false,
      hard: { term: 1, votedFor: null, group: GROUP, committedSeatsIndex: 0 },
      base: { index: 0, term: 0 },
      entries: [voterChangeEntry()],
      snapshot: null,
    },
    timing: DEFAULT_TIMING,
    random: new SeededRandom(1),
    nowMs: START_MS,
    initialGroup: undefined,
    peers: () => ["a", "b", "c"],
    report: () => {},
    ...change,
  });
}

function messagesOfKind(
  messages: readonly OutgoingMessage[],
  kind: string,
): Message[] {
  return messages.map((each) => each.message)
    .filter((message) => message.kind === kind);
}

function voteRequest(
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

/** Returns replica a after it won the election of term 2; the batch with its barrier is not synced yet. */
function createLeader(): Replica {
  const replica = createReplica("a");
  replica.tick(AFTER_ELECTION_TIMEOUT);
  for (const trial of [true, false]) {
    const syncBatch = replica.nextSyncBatch(AFTER_ELECTION_TIMEOUT.nowMs);
    if (syncBatch !== undefined) replica.markSynced(syncBatch);
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
    replica.receive("b", reply, AFTER_ELECTION_TIMEOUT);
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
    sentMs: AFTER_ELECTION_TIMEOUT.nowMs,
  }, AFTER_ELECTION_TIMEOUT);
}

test("a vote is sent only after it is synced, and a second candidate is granted none", () => {
  const replica = createReplica("c");
  replica.receive("a", voteRequest("replica-a"), AFTER_ELECTION_TIMEOUT);
  assert.deepEqual(
    messagesOfKind(replica.drainReadyMessages(), "voteReply"),
    [],
  );
  const syncBatch = replica.nextSyncBatch(AFTER_ELECTION_TIMEOUT.nowMs);
  assert.equal(syncBatch?.batch.hard?.votedFor, "replica-a");
  const [reply] = messagesOfKind(
    syncBatch?.messagesAfterSync ?? [],
    "voteReply",
  );
  assert.equal((reply as MessageOf<"voteReply">).granted, true);
  replica.receive("b", voteRequest("replica-b"), AFTER_ELECTION_TIMEOUT);
  const ready = replica.drainReadyMessages();
  const [second] = messagesOfKind(ready, "voteReply") as MessageOf<
    "voteReply"
  >[];
  assert.notEqual(second?.granted, true);
});

test("a leader commits only entries that a majority, itself included, has synced", () => {
  const replica = createLeader();
  const syncBatch = replica.nextSyncBatch(AFTER_ELECTION_TIMEOUT.nowMs);
  assert.ok(syncBatch !== undefined);
  acknowledge(replica, "b", 2);
  assert.equal(replica.state.committedIndex, 0);
  replica.markSynced(syncBatch);
  assert.equal(replica.state.committedIndex, 2);
});

test("a restarted replica grants no vote until it has waited for the current leader", () => {
  const replica = createReplica("c");
  const soon = { nowMs: START_MS + 100, wallMs: 0 };
  replica.receive("a", voteRequest("replica-a"), soon);
  assert.equal(replica.state.term, 1);
  assert.equal(replica.nextSyncBatch(soon.nowMs), undefined);
});

test("messages addressed to a previous replica of the VM are dropped", () => {
  const replica = createReplica("c");
  replica.receive(
    "a",
    voteRequest("replica-a", { to: "lost-replica" }),
    AFTER_ELECTION_TIMEOUT,
  );
  assert.equal(replica.state.votedFor, null);
});

test("a lease requires replies from a majority and expires without them", () => {
  const replica = createLeader();
  assert.equal(replica.leaseUntilMs(AFTER_ELECTION_TIMEOUT.nowMs), 0);
  acknowledge(replica, "b", 1);
  assert.equal(
    replica.leaseUntilMs(AFTER_ELECTION_TIMEOUT.nowMs),
    AFTER_ELECTION_TIMEOUT.nowMs + DEFAULT_TIMING.leaseMs,
  );
  const expiredMs = AFTER_ELECTION_TIMEOUT.nowMs + DEFAULT_TIMING.leaseMs;
  assert.equal(replica.leaseUntilMs(expiredMs), 0);
});

test("a leader whose process was busy does not take its own delay for silence of the others", () => {
  const replica = createLeader();
  acknowledge(replica, "b", 1);
  const { heartbeatMs, electionMinimumMs } = DEFAULT_TIMING;
  const contactMs = AFTER_ELECTION_TIMEOUT.nowMs;
  const tickAt = (nowMs: number): void => replica.tick({ nowMs, wallMs: 0 });
  tickAt(contactMs + heartbeatMs);
  // The next tick comes late, and replies wait until the turn of the event loop after it.
  const lateMs = contactMs + electionMinimumMs + heartbeatMs;
  tickAt(lateMs);
  assert.equal(replica.state.role, "leader");
  for (let sinceMs = 0; sinceMs <= electionMinimumMs; sinceMs += heartbeatMs) {
    tickAt(lateMs + sinceMs);
  }
  assert.notEqual(replica.state.role, "leader");
});

test("a voter change requires majorities of both lists until it is committed", () => {
  const replica = createLeader();
  const added = { replica: "replica-d", vm: "c" };
  const after = [VOTERS[0] as Voter, VOTERS[1] as Voter, added];
  const body = encodeVoterChange({ before: VOTERS, after });
  replica.appendEntry("seats", body, AFTER_ELECTION_TIMEOUT);
  const joint = replica.state.quorum();
  assert.equal(joint.isQuorum(new Set(["replica-a", "replica-d"])), false);
  assert.equal(joint.isQuorum(new Set(["replica-a", "replica-b"])), true);
});

test("a replica removed from the voters sends hellos once it has no contact with a leader", () => {
  const replica = createReplica("a");
  const after = [VOTERS[1] as Voter, VOTERS[2] as Voter];
  const body = encodeVoterChange({ before: VOTERS, after });
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
  }, AFTER_ELECTION_TIMEOUT);
  const withoutLeader = {
    nowMs: AFTER_ELECTION_TIMEOUT.nowMs + 3_000,
    wallMs: 0,
  };
  replica.tick(withoutLeader);
  replica.tick({ nowMs: withoutLeader.nowMs + 3_000, wallMs: 0 });
  assert.equal(messagesOfKind(replica.drainReadyMessages(), "hello").length, 2);
});

test("a candidate sends a hello to a leader on a VM that is no longer a control VM", () => {
  const replica = createReplica("a");
  replica.tick(AFTER_ELECTION_TIMEOUT);
  assert.equal(replica.state.role, "candidate");
  replica.drainReadyMessages();
  const reply: MessageOf<"hello"> = {
    kind: "hello",
    group: GROUP,
    from: "replica-b",
    to: "replica-a",
    term: 1,
    formed: true,
    leader: "former",
  };
  replica.receive("b", reply, AFTER_ELECTION_TIMEOUT);
  const hellos = replica.drainReadyMessages()
    .filter((each) => each.message.kind === "hello")
    .map((each) => each.vm);
  assert.deepEqual(hellos, ["former"]);
});

test("a leader sends at most one window of entries a second to a replica that does not reply", () => {
  const replica = createLeader();
  const entryBytes = 100_000;
  let sentBytes = 0;
  let nowMs = AFTER_ELECTION_TIMEOUT.nowMs;
  for (let step = 0; step < 39; step += 1) {
    nowMs += 25;
    const instant = { nowMs, wallMs: 0 };
    replica.appendEntry("command", new Uint8Array(entryBytes), instant);
    const syncBatch = replica.nextSyncBatch(nowMs);
    if (syncBatch !== undefined) replica.markSynced(syncBatch);
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

test("of two voters the one on the machine of another log's leader starts no election before the other", () => {
  const busy = createReplica("a", { prefersOtherLeader: () => true });
  const free = createReplica("b");
  const longestMs = DEFAULT_TIMING.electionMinimumMs +
    DEFAULT_TIMING.electionSpreadMs;
  const firstElectionMs = (replica: Replica): number => {
    for (let nowMs = START_MS; nowMs < START_MS + 10_000; nowMs += 10) {
      replica.tick({ nowMs, wallMs: 0 });
      if (replica.state.role === "candidate") return nowMs - START_MS;
    }
    return Infinity;
  };
  assert.ok(firstElectionMs(free) <= longestMs);
  const busyMs = firstElectionMs(busy);
  assert.ok(busyMs > longestMs, `${busyMs} ms`);
  assert.ok(busyMs < 2 * longestMs, "it stands if no other voter does");
});

test("a replica that read its disk for longer than an election timeout votes and stands at once", () => {
  const startedMs = START_MS - DEFAULT_TIMING.electionMinimumMs -
    DEFAULT_TIMING.electionSpreadMs;
  const voter = createReplica("a", { startedMs });
  const request = voteRequest("replica-b", { trial: true });
  voter.receive("b", request, { nowMs: START_MS, wallMs: 0 });
  const syncBatch = voter.nextSyncBatch(START_MS);
  if (syncBatch !== undefined) voter.markSynced(syncBatch);
  const [reply] = messagesOfKind(voter.drainReadyMessages(), "voteReply");
  assert.equal((reply as MessageOf<"voteReply">).granted, true);
  const candidate = createReplica("a", { startedMs });
  const nowMs = START_MS + DEFAULT_TIMING.electionSpreadMs;
  candidate.tick({ nowMs, wallMs: 0 });
  assert.equal(candidate.state.role, "candidate");
});

test("a replica that has just started grants no vote, although it read its disk for a moment", () => {
  const voter = createReplica("a", { startedMs: START_MS - 10 });
  const request = voteRequest("replica-b", { trial: true });
  voter.receive("b", request, { nowMs: START_MS, wallMs: 0 });
  assert.equal(voter.drainReadyMessages().length, 0);
});
