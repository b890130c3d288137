/**
 * Settings of the programs: each is a flag and a `CICADAFIELD_*` variable, checked at start, with all
 * faults listed at once. A flag beats the variable.
 *
 * @module
 */
import { parseArgs } from "node:util";
import type { z } from "zod";
import { Err, Ok, type Result } from "./result.ts";

/** One setting. */
export interface SettingDefinition<Value> {
  /** What it does and its unit, in one sentence. */
  readonly help: string;
  /** Checks and converts the text given. */
  readonly schema: z.ZodType<Value>;
  /** Text used when neither flag nor variable is given; without it the setting is required. */
  readonly fallback?: string;
  /** A value to show in the documentation. */
  readonly example: string;
}

/** The settings of a program by flag name, such as `listen-host`. */
export type SettingDefinitions = Readonly<
  Record<string, SettingDefinition<unknown>>
>;

/** Values by flag name. */
export type SettingValues<Definitions extends SettingDefinitions> = {
  readonly [Name in keyof Definitions]: Definitions[Name] extends
    SettingDefinition<infer Value> ? Value : never;
};

/** One fault found in the settings. */
export interface SettingError {
  readonly setting: string;
  readonly value: string | undefined;
  readonly message: string;
}

/** Where settings come from. */
export interface SettingSources {
  readonly argv: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
}

const VARIABLE_PREFIX = "CICADAFIELD_";

/** Names the environment variable of a flag: `listen-host` gives `CICADAFIELD_LISTEN_HOST`. */
export function settingVariable(name: string): string {
  return VARIABLE_PREFIX + name.toUpperCase().replaceAll("-", "_");
}

/**
 * Reads settings from flags and variables; on failure lists every fault.
 *
 * @example
 * ```ts
 * const settings = readSettings(
 *   { "port": { help: "TCP port", schema: z.coerce.number().int(), example: "7000" } },
 *   { argv: ["--port", "7000"], environment: {} },
 * );
 * ```
 */
export function readSettings<Definitions extends SettingDefinitions>(
  definitions: Definitions,
  sources: SettingSources,
): Result<SettingValues<Definitions>, readonly SettingError[]> {
  const flags = parseFlags(definitions, sources.argv);
  const errors: SettingError[] = [...flags.errors];
  const values: Record<string, unknown> = {};
  for (const [name, definition] of Object.entries(definitions)) {
    const text = flags.texts.get(name) ??
      sources.environment[settingVariable(name)] ?? definition.fallback;
    if (text === undefined) {
      errors.push({
        setting: name,
        value: undefined,
        message: `is required; give --${name} or ${settingVariable(name)}`,
      });
      continue;
    }
    const parsed = definition.schema.safeParse(text);
    if (parsed.success) {
      values[name] = parsed.data;
      continue;
    }
    const message = parsed.error.issues.map((issue) => issue.message).join(
      "; ",
    );
    errors.push({ setting: name, value: text, message });
  }
  if (errors.length > 0) return Err(errors);
  return Ok(values as SettingValues<Definitions>);
}

interface ParsedFlags {
  readonly texts: ReadonlyMap<string, string>;
  readonly errors: readonly SettingError[];
}

function parseFlags(
  definitions: SettingDefinitions,
  argv: readonly string[],
): ParsedFlags {
  const options: Record<string, { type: "string" }> = {};
  for (const name of Object.keys(definitions)) {
    options[name] = { type: "string" };
  }
  const { tokens } = parseArgs({
    args: [...argv],
    options,
    strict: false,
    tokens: true,
    allowPositionals: true,
  });
  const texts = new Map<string, string>();
  const errors: SettingError[] = [];
  let valueOfUnknown = false;
  for (const token of tokens) {
    if (token.kind === "option-terminator") continue;
    if (token.kind === "positional") {
      const skip = valueOfUnknown;
      valueOfUnknown = false;
      if (skip) continue;
      errors.push({
        setting: token.value,
        value: token.value,
        message: "is not a flag",
      });
      continue;
    }
    valueOfUnknown = false;
    if (!Object.hasOwn(definitions, token.name)) {
      valueOfUnknown = token.value === undefined;
      errors.push({
        setting: token.name,
        value: token.value ?? undefined,
        message: "is an unknown flag; see --help",
      });
      continue;
    }
    if (token.value === undefined) {
      errors.push({
        setting: token.name,
        value: undefined,
        message: "needs a value",
      });
      continue;
    }
    if (texts.has(token.name) && texts.get(token.name) !== token.value) {
      errors.push({
        setting: token.name,
        value: token.value,
        message: "is given twice with different values",
      });
      continue;
    }
    texts.set(token.name, token.value);
  }
  return { texts, errors: errors };
}
