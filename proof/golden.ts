/**
 * `npm run golden -- [NAME] [--update]`: runs golden sessions through the real programs; `--update` keeps the new
 * transcripts instead of comparing.
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
  const chosen = positionals.length > 0 ? positionals : known;
  const unknown = chosen.filter((name) => !known.includes(name));
  if (unknown.length > 0) {
    console.error(`no session ${unknown.join(", ")}; names: ${known}`);
    return 2;
  }
  let differing = 0;
  for (const name of chosen) {
    if (!await updateOrCompare(name, values.update)) differing += 1;
  }
  return differing === 0 ? 0 : 1;
}

async function updateOrCompare(
  name: string,
  update: boolean,
): Promise<boolean> {
  const actual = await runSession(name);
  const kept = await readGoldenFile(name);
  if (update) {
    await writeGoldenFile(name, actual);
    console.log(`golden ${name}: ${actual === kept ? "unchanged" : "renewed"}`);
    return true;
  }
  try {
    compareTranscripts(actual, kept);
  } catch (error) {
    console.error(error instanceof Error ? error.message : String(error));
    console.log(`golden ${name}: differs; --update keeps the new transcript`);
    return false;
  }
  console.log(`golden ${name}: as kept`);
  return true;
}

process.exit(await main());
