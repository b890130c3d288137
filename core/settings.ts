/**
 * Settings of the programs. Each can be given as a flag or a `CICADAFIELD_*` environment variable; the flag takes
 * precedence. All are validated at startup, and all errors are reported together.
 *
 * @module
 */
import { parseArgs } from "node:util";
import type { z } from "zod";
import { Err, Ok, type Result } from "./result.ts";

/** Definition of one setting. */
export interface SettingDefinition<Value> {
  /** Purpose and unit of the setting, in one sentence. */
  readonly help: string;
  /** Validates and converts the text. */
  readonly schema: z.ZodType<Value>;
  /** Text used if neither the flag nor the variable is given; a setting without it is required. */
  readonly fallback?: string;
  /** Example value for the documentation. */
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

/** An error in the settings. */
export interface SettingError {
  readonly setting: string;
  readonly value: string | undefined;
  readonly message: string;
}

/** Sources of the settings: command line and environment. */
export interface SettingSources {
  readonly argv: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
}

const VARIABLE_PREFIX = "CICADAFIELD_";

/** Returns the environment variable of a flag, such as `CICADAFIELD_LISTEN_HOST` for `listen-host`. */
export function settingVariable(name: string): string {
  return VARIABLE_PREFIX + name.toUpperCase().replaceAll("-", "_");
}

/**
 * Reads the settings from flags and environment variables; on failure returns all errors.
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
  let followsUnknownFlag = false;
  for (const token of tokens) {
    if (token.kind === "option-terminator") continue;
    if (token.kind === "positional") {
      const skip = followsUnknownFlag;
      followsUnknownFlag = false;
      if (skip) continue;
      errors.push({
        setting: token.value,
        value: token.value,
        message: "is not a flag",
      });
      continue;
    }
    followsUnknownFlag = false;
    if (!Object.hasOwn(definitions, token.name)) {
      followsUnknownFlag = token.value === undefined;
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
