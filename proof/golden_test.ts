import { test } from "node:test";
import {
  compareTranscripts,
  readGoldenFile,
  runSession,
  sessionNames,
} from "./golden_files.ts";

for (const name of await sessionNames()) {
  test(`the session ${name} matches its golden file`, async () => {
    const expected = await readGoldenFile(name);
    compareTranscripts(await runSession(name), expected);
  });
}
