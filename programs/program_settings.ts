/**
 * Reads the settings of a program at start: handles `--help` and `--version`, and reports all errors in one message.
 *
 * @module
 */
import {
  readSettings,
  type SettingDefinitions,
  type SettingError,
  type SettingSources,
  type SettingValues,
  settingVariable,
} from "#core";
import { EXIT_CODES } from "./exit_codes.ts";
import { VERSION } from "./version.ts";

/** Description of a program for `--help`. */
export interface ProgramText {
  /** Name of the binary. */
  readonly name: string;
  /** What the program does, in one or two sentences. */
  readonly summary: string;
  readonly definitions: SettingDefinitions;
}

/** A program and its settings. */
export interface ProgramDescription<Definitions extends SettingDefinitions>
  extends ProgramText {
  readonly definitions: Definitions;
  /** Returns the errors of settings that are valid by themselves but conflict with each other. */
  readonly conflicts?: (
    values: SettingValues<Definitions>,
  ) => readonly SettingError[];
}

/** A text to print before exiting: to standard output if the exit code is 0, otherwise to standard error. */
export interface SettingsExit {
  readonly kind: "exit";
  readonly exitCode: number;
  readonly text: string;
}

/** Result of reading the settings: run the program, or print a text and exit. */
export type SettingsOutcome<Definitions extends SettingDefinitions> =
  | { readonly kind: "run"; readonly values: SettingValues<Definitions> }
  | SettingsExit;

/**
 * Reads the settings of a program.
 *
 * @example
 * ```ts
 * const outcome = readProgramSettings(ENTRY, { argv: process.argv.slice(2), environment: process.env });
 * if (outcome.kind === "exit") exitWith(outcome);
 * ```
 */
export function readProgramSettings<Definitions extends SettingDefinitions>(
  program: ProgramDescription<Definitions>,
  sources: SettingSources,
): SettingsOutcome<Definitions> {
  if (sources.argv.includes("--help")) {
    return successExit(helpText(program));
  }
  if (sources.argv.includes("--version")) {
    return successExit(`${program.name} ${VERSION}\n`);
  }
  const settings = readSettings(program.definitions, sources);
  if (settings.err) return usageExit(program, settings.val);
  const conflicts = program.conflicts?.(settings.val) ?? [];
  if (conflicts.length > 0) return usageExit(program, conflicts);
  return { kind: "run", values: settings.val };
}

/** Returns the text of `--help`. */
export function helpText(
  program: ProgramText,
): string {
  const lines = [
    `${program.name}: ${program.summary}`,
    "",
    `usage: ${program.name} [--FLAG VALUE]...`,
    "",
    "Each flag can also be set as an environment variable; the flag takes precedence.",
    "",
  ];
  for (const [name, definition] of Object.entries(program.definitions)) {
    lines.push(`  --${name} VALUE   ${settingVariable(name)}`);
    lines.push(`      ${definition.help}`);
    lines.push(`      ${expectedValue(definition)}`);
  }
  lines.push("  --help      Print this text.");
  lines.push("  --version   Print the version.");
  return lines.join("\n") + "\n";
}

/** Returns a text that lists every error with its flag, variable, value and an example of a valid value. */
export function errorsText(
  program: ProgramText,
  errors: readonly SettingError[],
): string {
  const count = errors.length === 1 ? "1 error" : `${errors.length} errors`;
  const lines = [`${program.name}: ${count} in the settings`];
  for (const error of errors) {
    const value = error.value === undefined ? "" : ` ${quoted(error.value)}`;
    const definition = program.definitions[error.setting];
    if (definition === undefined) {
      lines.push(
        `  --${withoutDashes(error.setting)}${value}: ${error.message}`,
      );
      continue;
    }
    const variable = settingVariable(error.setting);
    lines.push(`  --${error.setting} (${variable})${value}: ${error.message}`);
    lines.push(`      ${definition.help}`);
    lines.push(`      ${expectedValue(definition)}`);
  }
  lines.push(`See ${program.name} --help.`);
  return lines.join("\n") + "\n";
}

function successExit(text: string): SettingsExit {
  return { kind: "exit", exitCode: EXIT_CODES.success, text };
}

function usageExit(
  program: ProgramText,
  errors: readonly SettingError[],
): SettingsExit {
  return {
    kind: "exit",
    exitCode: EXIT_CODES.usage,
    text: errorsText(program, errors),
  };
}

function expectedValue(definition: SettingDefinitions[string]): string {
  const example = `example: ${quoted(definition.example)}`;
  if (definition.fallback === undefined) return `${example} (required)`;
  return `${example}; default: ${quoted(definition.fallback)}`;
}

function quoted(text: string): string {
  return JSON.stringify(text);
}

function withoutDashes(name: string): string {
  return name.replace(/^-+/, "");
}
