/**
 * Golden files: a session is run, and its transcript compared with the file kept for it. A session is a module
 * `golden_NAME.ts` that exports `session(transcript: Transcript): Promise<void>`.
 *
 * @module
 */
import { deepStrictEqual } from "node:assert/strict";
import { readFile, writeFile } from "node:fs/promises";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { loadNamedModule, moduleNames } from "./named_module.ts";
import { Transcript } from "./transcript.ts";

const SESSION_MODULE_PREFIX = "golden_session_";
const GOLDEN_FOLDER = join(
  dirname(fileURLToPath(import.meta.url)),
  "../../proof/golden",
);

interface SessionModule {
  readonly session: (transcript: Transcript) => Promise<void>;
}

/** Names of all sessions. */
export function sessionNames(): Promise<readonly string[]> {
  return moduleNames(SESSION_MODULE_PREFIX);
}

/** Runs a session and gives its transcript. */
export async function runSession(name: string): Promise<string> {
  const module = await loadNamedModule(
    SESSION_MODULE_PREFIX,
    name,
  ) as SessionModule;
  const transcript = new Transcript();
  await module.session(transcript);
  return transcript.text();
}

/** The kept transcript of a session; empty if there is none yet. */
export async function readGoldenFile(name: string): Promise<string> {
  try {
    return await readFile(goldenPath(name), "utf8");
  } catch {
    return "";
  }
}

/** Keeps a transcript. */
export function writeGoldenFile(name: string, text: string): Promise<void> {
  return writeFile(goldenPath(name), text);
}

/** Throws with a diff of lines if a transcript differs from the one kept. */
export function compareTranscripts(actual: string, kept: string): void {
  deepStrictEqual(actual.split("\n"), kept.split("\n"));
}

function goldenPath(name: string): string {
  return join(GOLDEN_FOLDER, `${name}.txt`);
}
