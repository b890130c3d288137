/**
 * `cicadafield-fakes KIND`: runs one fake of an external system, such as an engine or a trainer. For development only.
 *
 * @module
 */
import process from "node:process";
import {
  PinoEventLog,
  readSettings,
  type SettingDefinitions,
  type SettingValues,
  settingVariable,
  SystemClock,
} from "#core";
import {
  buildEngine,
  buildService,
  buildTrainer,
  buildWeightStore,
  ENGINE_SETTINGS,
  FAKE_KINDS,
  type FakeDependencies,
  type FakeTrainer,
  SERVICE_SETTINGS,
  TRAINER_SETTINGS,
  type TrainerReport,
  type UpstreamServer,
  WEIGHT_STORE_SETTINGS,
} from "#fakes";
import { EXIT_CODES } from "./exit_codes.ts";
import { VERSION } from "./version.ts";

const PROGRAM = "cicadafield-fakes";

async function main(): Promise<void> {
  const [kind, ...argv] = process.argv.slice(2);
  if (kind === "--version") return console.log(VERSION);
  if (kind === undefined || kind === "--help") return console.log(usageText());
  const fake = FAKE_KINDS[kind];
  if (fake === undefined) {
    console.error(`${PROGRAM}: ${kind} is not a kind of fake\n${usageText()}`);
    return process.exit(EXIT_CODES.usage);
  }
  if (argv.includes("--help")) {
    return console.log(settingsHelpText(kind, fake.settings));
  }
  await startFake(kind, argv);
}

async function startFake(kind: string, argv: readonly string[]): Promise<void> {
  const surroundings: FakeDependencies = {
    clock: new SystemClock(),
    events: new PinoEventLog({
      program: PROGRAM,
      level: process.env["CICADAFIELD_LOG_LEVEL"] ?? "info",
    }),
  };
  if (kind === "engine") {
    const values = readSettingsOrExit(ENGINE_SETTINGS, argv);
    return await serve(buildEngine(values, surroundings));
  }
  if (kind === "service") {
    const values = readSettingsOrExit(SERVICE_SETTINGS, argv);
    return await serve(buildService(values, surroundings));
  }
  if (kind === "weight-store") {
    const values = readSettingsOrExit(WEIGHT_STORE_SETTINGS, argv);
    return await serve(buildWeightStore(values, surroundings));
  }
  await runTrainerAndReport(argv, surroundings);
}

async function serve(server: UpstreamServer): Promise<void> {
  try {
    await server.start();
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    console.error(`${PROGRAM}: can't listen: ${reason}`);
    return process.exit(EXIT_CODES.failure);
  }
  const stop = async (): Promise<void> => {
    await server.stop();
    process.exit(0);
  };
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

/** Runs the trainer and prints its report as one JSON line. */
async function runTrainerAndReport(
  argv: readonly string[],
  surroundings: FakeDependencies,
): Promise<void> {
  const values = readSettingsOrExit(TRAINER_SETTINGS, argv);
  const trainer = buildTrainer(values, surroundings);
  process.once("SIGTERM", () => trainer.stop());
  process.once("SIGINT", () => trainer.stop());
  const report = await runTrainer(trainer);
  console.log(JSON.stringify(report));
  const violations = report.doubled + report.unasked + report.untrue +
    report.overBound;
  process.exit(violations > 0 ? EXIT_CODES.failure : 0);
}

async function runTrainer(trainer: FakeTrainer): Promise<TrainerReport> {
  try {
    return await trainer.run();
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    console.error(`${PROGRAM}: ${reason}`);
    return process.exit(EXIT_CODES.failure);
  }
}

function readSettingsOrExit<Definitions extends SettingDefinitions>(
  definitions: Definitions,
  argv: readonly string[],
): SettingValues<Definitions> {
  const settings = readSettings(definitions, {
    argv,
    environment: process.env,
  });
  if (settings.ok) return settings.val;
  for (const error of settings.val) {
    const value = error.value === undefined ? "" : ` (${error.value})`;
    console.error(`${PROGRAM}: ${error.setting}${value} ${error.message}`);
  }
  return process.exit(EXIT_CODES.usage);
}

function usageText(): string {
  const lines = [`usage: ${PROGRAM} KIND [flags]`, "kinds:"];
  for (const [name, kind] of Object.entries(FAKE_KINDS)) {
    lines.push(`  ${name.padEnd(13)} ${kind.summary}`);
  }
  lines.push(
    `Each kind lists its flags with ${PROGRAM} KIND --help.`,
    `example: ${PROGRAM} engine --id engine-1 --zone a --listen-host 127.0.1.20 --listen-port 9000 --entry http://127.0.1.1:8000 --model advice`,
  );
  return lines.join("\n");
}

function settingsHelpText(kind: string, settings: SettingDefinitions): string {
  const lines = [`usage: ${PROGRAM} ${kind} [flags]`];
  for (const [name, setting] of Object.entries(settings)) {
    const fallback = setting.fallback === undefined
      ? "required"
      : `default ${JSON.stringify(setting.fallback)}`;
    lines.push(
      `  --${name} ${setting.example}`,
      `      ${setting.help} (${fallback}; ${settingVariable(name)})`,
    );
  }
  return lines.join("\n");
}

await main();
