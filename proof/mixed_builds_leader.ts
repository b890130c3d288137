/**
 * Selects the leader of a replicated log in a cluster that runs two builds.
 *
 * @module
 */
import { basename, dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Milliseconds } from "#core";
import { delay, type ManagedProcess, waitUntil } from "./managed_process.ts";

/** Folder of this build's programs. */
export const THIS_PROGRAMS = join(
  dirname(fileURLToPath(import.meta.url)),
  "../programs",
);

const LEADER_CHANGED_EVENT = 1202;
const LEADER_TIMEOUT_MS: Milliseconds = 60_000;
const SETTLE_MS: Milliseconds = 2_000;
const MAXIMUM_ELECTIONS = 30;

/** Restarts a stopped process with the program of the same name in the folder `programs`. */
export function restartFrom(managed: ManagedProcess, programs: string): void {
  managed.restart(join(programs, basename(managed.program)));
}

/** Returns whether a process runs a program of the folder `programs`. */
export function runsFrom(managed: ManagedProcess, programs: string): boolean {
  return dirname(managed.program) === programs;
}

/** Replicas of one replicated log, by VM name as in log events, without a port. */
export type LogReplicas = ReadonlyMap<string, ManagedProcess>;

/**
 * Kills leaders until the leader runs a program of the folder `programs`, and returns its process. Each killed process
 * is restarted with the same program.
 */
export async function electLeaderFrom(
  replicas: LogReplicas,
  programs: string,
): Promise<ManagedProcess> {
  for (let election = 0; election < MAXIMUM_ELECTIONS; election += 1) {
    const leader = await currentLeader(replicas);
    if (runsFrom(leader, programs)) return leader;
    await leader.kill();
    await waitUntil("another leader", LEADER_TIMEOUT_MS, () => {
      const newest = newestLeader(replicas);
      return newest !== undefined && newest !== leader && newest.isRunning;
    });
    leader.restart();
    await delay(SETTLE_MS);
  }
  throw new Error(`no leader from ${programs} in ${MAXIMUM_ELECTIONS} terms`);
}

async function currentLeader(replicas: LogReplicas): Promise<ManagedProcess> {
  let leader: ManagedProcess | undefined;
  await waitUntil("a leader", LEADER_TIMEOUT_MS, () => {
    leader = newestLeader(replicas);
    return leader?.isRunning === true;
  });
  return leader as ManagedProcess;
}

/** Returns the leader of the highest term in the logs of the running replicas. */
function newestLeader(replicas: LogReplicas): ManagedProcess | undefined {
  let newest: { readonly leader: string; readonly term: number } | undefined;
  const running = [...replicas.values()].filter((replica) => replica.isRunning);
  for (const line of running.flatMap((replica) => replica.log().split("\n"))) {
    if (!line.includes(`"event":${LEADER_CHANGED_EVENT}`)) continue;
    const { leader, term } = JSON.parse(line) as {
      readonly leader: string | null;
      readonly term: number;
    };
    if (leader === null || term < (newest?.term ?? 0)) continue;
    newest = { leader, term };
  }
  return replicas.get(newest?.leader.split(":")[0] ?? "");
}
