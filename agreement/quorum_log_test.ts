import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import {
  type Address,
  type Committed,
  type Failure,
  loopbackHost,
  MemoryEventLog,
  Ok,
  type Result,
  StateMachine,
  SystemClock,
  SystemRandom,
} from "#core";
import { TcpNetwork } from "#wire";
import { FileFolder } from "./file_folder.ts";
import { QuorumLog } from "./quorum_log.ts";

class ListMachine
  extends StateMachine<string, number, null, readonly string[]> {
  override readonly name = "bundles";
  #items: string[] = [];

  override apply(entry: Committed<string>): Result<number, Failure> {
    this.#items.push(entry.command);
    return Ok(this.#items.length);
  }

  override query(): Result<readonly string[], Failure> {
    return Ok([...this.#items]);
  }

  override snapshot(): unknown {
    return [...this.#items];
  }

  override restore(state: unknown): void {
    this.#items = [...state as string[]];
  }
}

async function waitUntil(check: () => boolean): Promise<void> {
  const clock = new SystemClock();
  while (!check()) await clock.sleep(10);
}

test("a group over TCP with file storage elects a leader, commits, and recovers after a restart", async () => {
  const names = ["a", "b", "c"];
  const addresses = new Map<string, Address>(
    names.map((
      name,
      index,
    ) => [name, { host: loopbackHost(index + 1), port: 17_201 }]),
  );
  const root = await mkdtemp(join(tmpdir(), "agreement-"));
  const clock = new SystemClock();
  const startMembers = async () => {
    const members = [];
    for (const name of names) {
      const network = new TcpNetwork({
        cluster: "test",
        self: name,
        listen: addresses.get(name) as Address,
        clock,
        events: new MemoryEventLog(),
        resolve: (vm) => addresses.get(vm),
      });
      await network.listen();
      const log = new QuorumLog({
        vm: name,
        network,
        folder: new FileFolder(join(root, name)),
        machines: [new ListMachine()],
        clock,
        random: new SystemRandom(),
        events: new MemoryEventLog(),
        peers: () => names,
        firstStart: { voters: names },
      });
      await log.start();
      members.push({ log, network });
    }
    return members;
  };
  try {
    for (const round of [1, 2]) {
      const members = await startMembers();
      const findLeader = () =>
        members.find((each) => each.log.leaseUntilMs() > 0)?.log;
      await waitUntil(() => findLeader() !== undefined);
      const leader = findLeader() as QuorumLog;
      const result = await leader.propose({
        machine: "bundles",
        command: `command ${round}`,
      });
      assert.equal(result.val, round);
      await waitUntil(() =>
        members.every((each) =>
          each.log.status().appliedIndex === leader.status().appliedIndex
        )
      );
      for (const each of members) {
        await each.log.stop();
        each.network.close();
      }
    }
  } finally {
    await rm(root, { recursive: true });
  }
});
