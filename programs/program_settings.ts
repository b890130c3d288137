/**
 * Settings of the daemons at start: `--help`, `--version`, and one message with every fault.
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

/** A program as `--help` shows it. */
export interface ProgramText {
  /** Name of the binary. */
  readonly name: string;
  /** What it does, in one or two sentences. */
  readonly summary: string;
  readonly definitions: SettingDefinitions;
}

/** A program and its settings. */
export interface ProgramDescription<Definitions extends SettingDefinitions>
  extends ProgramText {
  readonly definitions: Definitions;
  /** Faults among settings that are each right alone. */
  readonly conflicts?: (
    values: SettingValues<Definitions>,
  ) => readonly SettingError[];
}

/** The settings ask for a text and an exit: to standard output if the code is 0, else to standard error. */
export interface SettingsExit {
  readonly kind: "exit";
  readonly exitCode: number;
  readonly text: string;
}

/** What follows from the settings: run with them, or print a text and exit. */
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

/** The text of `--help`. */
export function helpText(
  program: ProgramText,
): string {
  const lines = [
    `${program.name}: ${program.summary}`,
    "",
    `usage: ${program.name} [--FLAG VALUE]...`,
    "",
    "Each flag can be given as a variable instead; the flag goes first.",
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

/** The text that lists every fault with its flag, variable, value and what would be right. */
export function errorsText(
  program: ProgramText,
  faults: readonly SettingError[],
): string {
  const count = faults.length === 1 ? "1 fault" : `${faults.length} faults`;
  const lines = [`${program.name}: ${count} in the settings`];
  for (const fault of faults) {
    const value = fault.value === undefined ? "" : ` ${quoted(fault.value)}`;
    const definition = program.definitions[fault.setting];
    if (definition === undefined) {
      lines.push(
        `  --${withoutDashes(fault.setting)}${value}: ${fault.message}`,
      );
      continue;
    }
    const variable = settingVariable(fault.setting);
    lines.push(`  --${fault.setting} (${variable})${value}: ${fault.message}`);
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
  faults: readonly SettingError[],
): SettingsExit {
  return {
    kind: "exit",
    exitCode: EXIT_CODES.usage,
    text: errorsText(program, faults),
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
