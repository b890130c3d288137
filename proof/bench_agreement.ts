/**
 * `npm run bench -- agreement`: commit throughput and latency of groups of 3 and 5 replicas that use files and TCP,
 * against the fsync rate of the same disk in the same run, and the time without a leader after the leader is lost.
 *
 * @module
 */
import { mkdtemp, open, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import {
  type Address,
  type Committed,
  type Failure,
  MemoryEventLog,
  type Milliseconds,
  Ok,
  type Result,
  StateMachine,
  SystemClock,
  SystemRandom,
} from "#core";
import { TcpNetwork } from "#wire";
import { FileFolder, QuorumLog } from "#agreement";
import type { BenchFigures, BenchOptions } from "./bench.ts";

const PORT = 17_301;
const COMMAND_BYTES = 200;
const POLL_MS: Milliseconds = 5;

/** State machine that counts the committed commands. */
class CountMachine extends StateMachine<unknown, number, unknown, number> {
  override readonly name = "claims";
  #count = 0;

  override apply(_entry: Committed<unknown>): Result<number, Failure> {
    this.#count += 1;
    return Ok(this.#count);
  }

  override query(): Result<number, Failure> {
    return Ok(this.#count);
  }

  override snapshot(): unknown {
    return this.#count;
  }

  override restore(state: unknown): void {
    this.#count = state as number;
  }
}

interface Member {
  /** An isolated VM sends and receives nothing, as after a kill. */
  readonly connection: { isolated: boolean };
  readonly log: QuorumLog;
  readonly network: TcpNetwork;
}

/** Runs the benchmark. */
export async function run(options: BenchOptions): Promise<BenchFigures> {
  const seconds = options.quick ? 1 : 5;
  const kills = options.quick ? 1 : 5;
  const root = await mkdtemp(join(tmpdir(), "cicadafield-agreement-"));
  try {
    const fsyncsPerSecond = await measureFsyncs(root, seconds);
    const groups = [];
    for (const replicas of [3, 5]) {
      const folder = join(root, String(replicas));
      groups.push(
        await measureGroup(folder, { replicas, seconds, kills }),
      );
    }
    const ratios = groups.map((group) =>
      group.commits_per_second_64_callers / fsyncsPerSecond
    );
    return {
      fsyncs_per_second: Math.round(fsyncsPerSecond),
      command_bytes: COMMAND_BYTES,
      groups,
      ratio_of_64_callers_to_fsyncs: ratios.map((ratio) => round(ratio)),
    };
  } finally {
    await rm(root, { recursive: true, force: true });
  }
}

async function measureFsyncs(root: string, seconds: number): Promise<number> {
  const file = await open(join(root, "fsyncs"), "a");
  const bytes = new Uint8Array(COMMAND_BYTES);
  const startMs = performance.now();
  let count = 0;
  while (performance.now() < startMs + seconds * 1_000) {
    await file.writeFile(bytes);
    await file.datasync();
    count += 1;
  }
  const elapsedMs = performance.now() - startMs;
  await file.close();
  return count * 1_000 / elapsedMs;
}

async function measureGroup(
  root: string,
  options: {
    readonly replicas: number;
    readonly seconds: number;
    readonly kills: number;
  },
): Promise<
  { readonly commits_per_second_64_callers: number } & BenchFigures
> {
  const members = await startGroup(root, options.replicas);
  const singleCaller = await measureLoad(members, {
    callers: 1,
    seconds: options.seconds,
  });
  const manyCallers = await measureLoad(members, {
    callers: 64,
    seconds: options.seconds,
  });
  for (const member of members) await closeMember(member);
  const leaderlessMs: number[] = [];
  for (let kill = 0; kill < options.kills; kill += 1) {
    const folder = join(root, `kill-${kill}`);
    leaderlessMs.push(await measureKill(folder, options.replicas));
  }
  leaderlessMs.sort((a, b) => a - b);
  return {
    replicas: options.replicas,
    commits_per_second_1_caller: Math.round(singleCaller.perSecond),
    latency_p50_ms_1_caller: singleCaller.p50Ms,
    latency_p99_ms_1_caller: singleCaller.p99Ms,
    commits_per_second_64_callers: Math.round(manyCallers.perSecond),
    latency_p50_ms_64_callers: manyCallers.p50Ms,
    latency_p99_ms_64_callers: manyCallers.p99Ms,
    failed_proposals: singleCaller.failures + manyCallers.failures,
    ms_without_leader_after_kill: leaderlessMs.map((gap) => Math.round(gap)),
  };
}

async function startGroup(
  root: string,
  replicas: number,
): Promise<readonly Member[]> {
  const names = Array.from(
    { length: replicas },
    (_, index) => `control-${index}`,
  );
  const addresses = new Map<string, Address>(
    names.map((
      name,
      index,
    ) => [name, { host: `127.4.1.${index + 1}`, port: PORT }]),
  );
  const clock = new SystemClock();
  const members: Member[] = [];
  for (const name of names) {
    const connection = { isolated: false };
    const network = new TcpNetwork({
      cluster: "bench",
      self: name,
      listen: addresses.get(name) as Address,
      clock,
      events: new MemoryEventLog(),
      resolve: (vm) => addresses.get(vm),
      mayPass: () => !connection.isolated,
    });
    await network.listen();
    const log = new QuorumLog({
      vm: name,
      network,
      folder: new FileFolder(join(root, name)),
      machines: [new CountMachine()],
      clock,
      random: new SystemRandom(),
      events: new MemoryEventLog(),
      peers: () => names,
      firstStart: { voters: names },
    });
    members.push({ log, network, connection });
  }
  for (const member of members) await member.log.start();
  await waitForLeader(members);
  return members;
}

async function waitForLeader(members: readonly Member[]): Promise<Member> {
  const clock = new SystemClock();
  for (;;) {
    const leader = members.find((member) => member.log.leaseUntilMs() > 0);
    if (leader !== undefined) return leader;
    await clock.sleep(POLL_MS);
  }
}

async function measureLoad(
  members: readonly Member[],
  options: { readonly callers: number; readonly seconds: number },
): Promise<{
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly failures: number;
}> {
  const { log } = await waitForLeader(members);
  const command = { bytes: new Uint8Array(COMMAND_BYTES) };
  const startMs = performance.now();
  const untilMs = startMs + options.seconds * 1_000;
  const latencies: number[] = [];
  const clock = new SystemClock();
  let failures = 0;
  const runCaller = async (): Promise<void> => {
    while (performance.now() < untilMs) {
      const sentMs = performance.now();
      const reply = await log.propose({ machine: "claims", command });
      if (reply.ok) {
        latencies.push(performance.now() - sentMs);
        continue;
      }
      failures += 1;
      await clock.sleep(POLL_MS);
    }
  };
  await Promise.all(Array.from({ length: options.callers }, runCaller));
  const elapsedMs = performance.now() - startMs;
  latencies.sort((a, b) => a - b);
  return {
    perSecond: latencies.length * 1_000 / elapsedMs,
    p50Ms: quantile(latencies, 0.5),
    p99Ms: quantile(latencies, 0.99),
    failures,
  };
}

/** Isolates the leader without a handover and returns the time until another member is leader. */
async function measureKill(root: string, replicas: number): Promise<number> {
  const members = await startGroup(root, replicas);
  const leader = await waitForLeader(members);
  await leader.log.propose({ machine: "claims", command: {} });
  const startMs = performance.now();
  leader.connection.isolated = true;
  const remaining = members.filter((member) => member !== leader);
  await waitForLeader(remaining);
  const elapsedMs = performance.now() - startMs;
  for (const member of members) await closeMember(member);
  return elapsedMs;
}

async function closeMember(member: Member): Promise<void> {
  member.network.close();
  await member.log.stop();
}

function quantile(sorted: readonly number[], fraction: number): number {
  const index = Math.min(
    sorted.length - 1,
    Math.floor(sorted.length * fraction),
  );
  return round(sorted[index] ?? 0);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
