import assert from "node:assert/strict";
import { readdir, readFile } from "node:fs/promises";
import { dirname, join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { parseBundle } from "#bundles";
import type { SettingDefinition } from "#core";
import { CONTROL_SETTINGS } from "./control_settings.ts";
import { ENTRY_SETTINGS } from "./entry_settings.ts";
import {
  collectEvents,
  EVENT_RANGES,
  eventsPage,
  settingsPage,
} from "./reference_pages.ts";

type AnySetting = SettingDefinition<unknown>;

const BUILD = join(dirname(fileURLToPath(import.meta.url)), "..");
const DOCS = join(BUILD, "../docs");
const UPDATE_HINT =
  "run: node build/programs/write_reference_pages.js && npm run format";

/** Normalizes white space, which is all that formatting changes. */
function normalizeSpace(page: string): string {
  return page.split(/\s+/).join(" ").trim();
}

async function readPage(name: string): Promise<string> {
  return normalizeSpace(await readFile(join(DOCS, name), "utf8"));
}

test("the settings page matches the code", async () => {
  assert.equal(
    await readPage("SETTINGS.md"),
    normalizeSpace(settingsPage()),
    UPDATE_HINT,
  );
});

test("the events page matches the code", async () => {
  const page = normalizeSpace(eventsPage(await collectEvents(BUILD)));
  assert.equal(await readPage("EVENTS.md"), page, UPDATE_HINT);
});

test("each event has a unique code within the range of its folder", async () => {
  const events = await collectEvents(BUILD);
  const codes = new Set<number>();
  for (const { folder, name, definition: { code } } of events) {
    assert.ok(!codes.has(code), `${folder} ${name} uses ${code} again`);
    codes.add(code);
    const first = EVENT_RANGES[folder] ?? 0;
    assert.ok(code >= first && code < first + 100, `${folder} ${name}`);
  }
  assert.ok(codes.size > 0);
});

test("the events page has the events of every folder that defines any", async () => {
  const folders: string[] = [];
  for (const entry of await readdir(BUILD, { withFileTypes: true })) {
    if (!entry.isDirectory()) continue;
    const files = await readdir(join(BUILD, entry.name));
    if (files.includes("events.js")) folders.push(entry.name);
  }
  assert.ok(folders.includes("platform"));
  const page = eventsPage(await collectEvents(BUILD));
  for (const folder of folders) {
    assert.match(page, new RegExp(`^## ${folder}, from `, "m"));
  }
  for (const code of [1001, 2003, 2101]) {
    assert.ok(page.includes(`**${code}**`), String(code));
  }
});

test("the first example bundle of the documentation is valid", async () => {
  const file = join(DOCS, "examples/bundle-1.json");
  const bundle = parseBundle(JSON.parse(await readFile(file, "utf8")));
  assert.deepEqual(bundle.ok ? [] : bundle.val, []);
});

test("the example and the default of each setting are valid", () => {
  const programs = { ...ENTRY_SETTINGS, ...CONTROL_SETTINGS };
  const invalid: string[] = [];
  for (const [name, setting] of Object.entries<AnySetting>(programs)) {
    for (const text of [setting.example, setting.fallback]) {
      if (text === undefined || setting.schema.safeParse(text).success) {
        continue;
      }
      invalid.push(`${name}: ${text}`);
    }
  }
  assert.deepEqual(invalid, []);
});
