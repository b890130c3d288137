/**
 * Golden files: the transcript of a session is compared with the golden file of the same name. A session is a
 * module `golden_session_NAME.ts` that exports `session(transcript: Transcript): Promise<void>`.
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

/** Returns the names of all sessions. */
export function sessionNames(): Promise<readonly string[]> {
  return moduleNames(SESSION_MODULE_PREFIX);
}

/** Runs a session and returns its transcript. */
export async function runSession(name: string): Promise<string> {
  const module = await loadNamedModule(
    SESSION_MODULE_PREFIX,
    name,
  ) as SessionModule;
  const transcript = new Transcript();
  await module.session(transcript);
  return transcript.text();
}

/** Returns the golden file of a session, or an empty text if it does not exist. */
export async function readGoldenFile(name: string): Promise<string> {
  try {
    return await readFile(goldenPath(name), "utf8");
  } catch {
    return "";
  }
}

/** Writes a transcript to the golden file of its session. */
export function writeGoldenFile(name: string, text: string): Promise<void> {
  return writeFile(goldenPath(name), text);
}

/** Throws with a line diff if a transcript differs from its golden file. */
export function compareTranscripts(actual: string, expected: string): void {
  deepStrictEqual(actual.split("\n"), expected.split("\n"));
}

function goldenPath(name: string): string {
  return join(GOLDEN_FOLDER, `${name}.txt`);
}
