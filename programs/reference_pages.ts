/**
 * Generates `docs/SETTINGS.md` and `docs/EVENTS.md` from the definitions in the code.
 *
 * @module
 */
import { readdir } from "node:fs/promises";
import { join } from "node:path";
import { pathToFileURL } from "node:url";
import {
  type EventDefinition,
  EVENTS_SUPPRESSED,
  type SettingDefinitions,
  settingVariable,
} from "#core";
import { FAKE_KINDS } from "#fakes";
import { CONTROL_SETTINGS } from "./control_settings.ts";
import { ENTRY_SETTINGS } from "./entry_settings.ts";

/** An event with the folder and the name of its definition in the code. */
export interface CataloguedEvent {
  readonly folder: string;
  readonly name: string;
  readonly definition: EventDefinition;
}

/** First event code of each folder; each folder has a range of 100 codes. */
export const EVENT_RANGES: Readonly<Record<string, number>> = {
  core: 1000,
  wire: 1100,
  agreement: 1200,
  bundles: 1300,
  membership: 1400,
  requests: 1500,
  samples: 1600,
  weights: 1700,
  programs: 1800,
  fakes: 1900,
  batches: 2000,
  platform: 2100,
  quotas: 2200,
  tenants: 2250,
  crashes: 2300,
  duties: 2350,
  scaling: 2400,
};

const EVENTS_MODULE = "events.js";

/** Events that are defined beside the code that emits them, in a folder whose `events.ts` defines none. */
const OTHER_EVENTS: readonly CataloguedEvent[] = [
  { folder: "core", name: "suppressed", definition: EVENTS_SUPPRESSED },
];

/** Collects the events of all folders of a build, sorted by code. */
export async function collectEvents(
  build: string,
): Promise<readonly CataloguedEvent[]> {
  const events: CataloguedEvent[] = [...OTHER_EVENTS];
  for (const folder of Object.keys(EVENT_RANGES)) {
    const files = await readdir(join(build, folder));
    if (!files.includes(EVENTS_MODULE)) continue;
    const file = join(build, folder, EVENTS_MODULE);
    const module = await import(pathToFileURL(file).href);
    for (const catalogue of Object.values(module)) {
      events.push(...cataloguedEvents(folder, catalogue));
    }
  }
  return events.sort((a, b) => a.definition.code - b.definition.code);
}

/** Returns the text of `docs/EVENTS.md`, before formatting. */
export function eventsPage(events: readonly CataloguedEvent[]): string {
  const lines = [
    "# Log events",
    "",
    "Every program writes its log as JSON lines to standard error. The field `event` contains the code of the event; codes stay the same from release to release. This page is generated from the code by `node build/programs/write_reference_pages.js`, and a test checks that it is up to date.",
  ];
  for (const [folder, firstCode] of Object.entries(EVENT_RANGES)) {
    const folderEvents = events.filter((event) => event.folder === folder);
    if (folderEvents.length === 0) continue;
    lines.push("", `## ${folder}, from ${firstCode}`, "");
    for (const { definition: { code, level, text, action } } of folderEvents) {
      lines.push(`- **${code}** (${level}): ${text}. What to do: ${action}`);
    }
  }
  return lines.join("\n") + "\n";
}

/** Returns the text of `docs/SETTINGS.md`, before formatting. */
export function settingsPage(): string {
  const lines = [
    "# Settings",
    "",
    "Each setting is a flag, such as `--zone a`, or an environment variable, such as `CICADAFIELD_ZONE=a`; the flag takes precedence. All settings are validated at start; if any is invalid, the program lists every error, changes nothing and exits with 2. This page is generated from the code by `node build/programs/write_reference_pages.js`, and a test checks that it is up to date.",
    "",
    ...programLines("cicadafield-entry", ENTRY_SETTINGS),
    ...programLines("cicadafield-control", CONTROL_SETTINGS),
    "## cicadafield",
    "",
    "- `--entry HOST:PORT` or `CICADAFIELD_ENTRY`: entry VMs to try in order until one responds. Repeat the flag for several addresses, or separate them by commas in the variable.",
    "",
    "`cicadafield COMMAND --help` lists the flags of each command.",
    "",
  ];
  for (const [kind, { settings }] of Object.entries(FAKE_KINDS)) {
    lines.push(...programLines(`cicadafield-fakes ${kind}`, settings));
  }
  return lines.join("\n");
}

function programLines(
  program: string,
  definitions: SettingDefinitions,
): readonly string[] {
  const lines = [`## ${program}`, ""];
  for (const [name, definition] of Object.entries(definitions)) {
    const fallback = definition.fallback === undefined
      ? "Required."
      : `Default: ${codeSpan(definition.fallback)}.`;
    lines.push(
      `- \`--${name}\` or \`${
        settingVariable(name)
      }\`: ${definition.help} ${fallback} Example: ${
        codeSpan(definition.example)
      }.`,
    );
  }
  lines.push("");
  return lines;
}

function codeSpan(text: string): string {
  return text === "" ? "empty" : `\`${text}\``;
}

function cataloguedEvents(
  folder: string,
  catalogue: unknown,
): readonly CataloguedEvent[] {
  const events: CataloguedEvent[] = [];
  for (const [name, value] of Object.entries(catalogue ?? {})) {
    if (!isDefinition(value)) continue;
    events.push({ folder, name, definition: value });
  }
  return events;
}

function isDefinition(value: unknown): value is EventDefinition {
  return typeof value === "object" && value !== null && "code" in value &&
    "level" in value;
}
