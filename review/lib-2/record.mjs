/** The record of a case: what was sent, answered and run, with the seconds since the start. */
import { appendFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

function openRecord(moduleUrl) {
  const path = join(dirname(fileURLToPath(moduleUrl)), "record.txt");
  const startMs = performance.now();
  writeFileSync(path, "");
  return (text) => {
    const seconds = ((performance.now() - startMs) / 1_000).toFixed(3);
    const line = `${seconds.padStart(8)} s  ${text}\n`;
    appendFileSync(path, line);
    process.stdout.write(line);
  };
}

const hasTrouble = process.env.TROUBLE !== "0";

/** Runs a case within 115 s: `play` returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
async function runCase(site, note, play) {
  let code = 2;
  const limit = new Promise((resolve) => {
    setTimeout(() => resolve("late"), 112_000).unref();
  });
  try {
    const outcome = await Promise.race([play(), limit]);
    if (outcome === "late") note("the case took too long");
    else code = outcome;
  } catch (error) {
    note(`the case couldn't run: ${error.stack}`);
  } finally {
    await site.close();
  }
  note(`exit ${code}`);
  process.exit(code);
}

export { hasTrouble, openRecord, runCase };
