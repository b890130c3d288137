import { test } from "node:test";
import {
  compareTranscripts,
  readGoldenFile,
  runSession,
  sessionNames,
} from "./golden_files.ts";

for (const name of await sessionNames()) {
  test(`the session ${name} goes as its golden file says`, async () => {
    const kept = await readGoldenFile(name);
    compareTranscripts(await runSession(name), kept);
  });
}
