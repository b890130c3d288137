/**
 * Writes `docs/SETTINGS.md` and `docs/EVENTS.md`. Run `npm run format` afterwards to format them.
 *
 * @module
 */
import { writeFile } from "node:fs/promises";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { collectEvents, eventsPage, settingsPage } from "./reference_pages.ts";

const BUILD = join(dirname(fileURLToPath(import.meta.url)), "..");
const DOCS = join(BUILD, "../docs");

await writeFile(join(DOCS, "SETTINGS.md"), settingsPage());
await writeFile(
  join(DOCS, "EVENTS.md"),
  eventsPage(await collectEvents(BUILD)),
);
