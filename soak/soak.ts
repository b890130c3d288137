/**
 * `npm run soak -- --first S --seeds N --seconds T --crashing C --advisers A --departures`: runs the soak for several seeds and prints each broken promise.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { SECOND_MS } from "#core";
import { countStreams } from "../proof/stream_counts.ts";
import { brokenPromises } from "./soak_oracle.ts";
import { runSoak } from "./soak_site.ts";

const WORKERS = 3;

// An exit ends the processes of the site, a signal alone does not.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}

const { values } = parseArgs({
  options: {
    first: { type: "string", default: "1" },
    seeds: { type: "string", default: "1" },
    seconds: { type: "string", default: "10" },
    programs: { type: "string" },
    crashing: { type: "string", default: "2" },
    advisers: { type: "string", default: "6" },
    departures: { type: "boolean", default: false },
  },
});
const { programs } = values;
const crashingCalls = Number(values.crashing);
const durationMs = Number(values.seconds) * SECOND_MS;
let failed = 0;
for (let at = 0; at < Number(values.seeds); at += 1) {
  const seed = Number(values.first) + at;
  const record = await runSoak(seed, {
    durationMs,
    workers: WORKERS,
    crashingCalls,
    advisers: Number(values.advisers),
    hasDepartures: values.departures,
    ...(programs === undefined ? {} : { programs }),
  });
  const broken = brokenPromises(record);
  if (broken.length > 0) failed += 1;
  const statuses = countStatuses(record.calls.map((each) => each.status));
  const streams = countStreams(record.streams);
  const { takenUp, completedAfterTakeUp } = streams;
  console.log(
    `seed ${seed}: ${
      broken.join("; ") || "kept"
    } (${statuses}; ${streams.streams} streams, ${completedAfterTakeUp} of ${takenUp} taken up went on; version ${record.publications.published})`,
  );
}
console.log(`soak: ${failed} of ${values.seeds} seeds failed`);
process.exit(failed === 0 ? 0 : 1);

function countStatuses(statuses: readonly number[]): string {
  const counts = new Map<number, number>();
  for (const status of statuses) {
    counts.set(status, (counts.get(status) ?? 0) + 1);
  }
  return [...counts].map(([status, count]) => `${status}: ${count}`).join(", ");
}
