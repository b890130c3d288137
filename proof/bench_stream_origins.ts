/**
 * `npm run bench -- stream_origins`: what it costs to tell control VMs where streams began, at the target's load, if
 * every request were a stream that may be resumed. All VMs run in one process on virtual time and a network in memory,
 * so bytes are those of message bodies, without frames and acknowledgements of TCP.
 *
 * @module
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  type Milliseconds,
  SECOND_MS,
  SeededRandom,
  VirtualClock,
} from "#core";
import { serveControlRequests } from "#membership";
import { OriginClient, OriginServer } from "#streams";
import { MemoryNetwork } from "#wire";
import type { BenchFigures, BenchOptions } from "./bench.ts";
import { roundToDigits } from "./statistics.ts";

const ENTRIES = 165;
const CONTROLS = 5;
const STREAMS_PER_SECOND = 7_000;
const STEP_MS: Milliseconds = 5;
const RETENTION_MS: Milliseconds = 10 * SECOND_MS;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Runs the benchmark. */
export async function run(options: BenchOptions): Promise<BenchFigures> {
  const seconds = options.quick ? 1 : 5;
  const clock = new VirtualClock();
  const network = new MemoryNetwork({ clock, random: new SeededRandom(1) });
  const controls = Array.from({ length: CONTROLS }, (_, at) => `control-${at}`);
  const servers = controls.map((vm) => {
    const server = new OriginServer({ clock, epoch: vm });
    serveControlRequests(network.join(vm), [server]);
    return server;
  });
  const entries = Array.from({ length: ENTRIES }, (_, at) => {
    const nearest = controls[at % CONTROLS] ?? "";
    const voters = [nearest, ...controls.filter((vm) => vm !== nearest)];
    return new OriginClient({
      network: network.join(`entry-${at}`),
      clock,
      voters: () => voters,
      controlVms: () => voters,
    });
  });
  let streams = 0;
  for (let ms = 0; ms < seconds * SECOND_MS; ms += STEP_MS) {
    const due = STREAMS_PER_SECOND * STEP_MS / SECOND_MS;
    for (let at = 0; at < due; at += 1) {
      const attempt = streams.toString(16).padStart(16, "0");
      const origin = { service: "advisor", softwareVersion: "v1" };
      entries[streams % ENTRIES]?.note(attempt, origin, RETENTION_MS);
      streams += 1;
    }
    await clock.advanceAsync(STEP_MS);
  }
  const heldStreams = servers.map((server) => server.size);
  collectGarbage();
  const heapWithStreams = process.memoryUsage().heapUsed;
  await clock.advanceAsync(RETENTION_MS + 2 * SECOND_MS);
  collectGarbage();
  const heap = heapWithStreams - process.memoryUsage().heapUsed;
  const held = heldStreams.reduce((sum, each) => sum + each, 0) + streams;
  const bytesPerStream = network.sentBytes / streams;
  return {
    streams,
    copies: roundToDigits((held - streams) / streams),
    bytesPerStream: roundToDigits(bytesPerStream),
    messagesPerStream: roundToDigits(network.sentMessages / streams),
    bytesPerEntrySecond: Math.round(
      bytesPerStream * STREAMS_PER_SECOND / ENTRIES,
    ),
    heapBytesPerHeldStream: Math.round(heap / held),
    mostHeldByOneControl: Math.max(...heldStreams),
  };
}
