/**
 * `npm run golden -- [NAME] [--update]`: runs golden sessions against the real programs and compares their
 * transcripts with the golden files; `--update` overwrites the golden files instead.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import {
  compareTranscripts,
  readGoldenFile,
  runSession,
  sessionNames,
  writeGoldenFile,
} from "./golden_files.ts";

async function main(): Promise<number> {
  const { positionals, values } = parseArgs({
    options: { update: { type: "boolean", default: false } },
    allowPositionals: true,
  });
  const known = await sessionNames();
  const selected = positionals.length > 0 ? positionals : known;
  const unknown = selected.filter((name) => !known.includes(name));
  if (unknown.length > 0) {
    console.error(
      `unknown session ${unknown.join(", ")}; known sessions: ${known}`,
    );
    return 2;
  }
  let differing = 0;
  for (const name of selected) {
    if (!await updateOrCompare(name, values.update)) differing += 1;
  }
  return differing === 0 ? 0 : 1;
}

async function updateOrCompare(
  name: string,
  update: boolean,
): Promise<boolean> {
  const actual = await runSession(name);
  const expected = await readGoldenFile(name);
  if (update) {
    await writeGoldenFile(name, actual);
    console.log(
      `golden ${name}: ${actual === expected ? "unchanged" : "updated"}`,
    );
    return true;
  }
  try {
    compareTranscripts(actual, expected);
  } catch (error) {
    console.error(error instanceof Error ? error.message : String(error));
    console.log(`golden ${name}: differs; --update overwrites the golden file`);
    return false;
  }
  console.log(`golden ${name}: matches`);
  return true;
}

process.exit(await main());
