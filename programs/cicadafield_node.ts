/**
 * The program of every VM on the users' platform; the first argument is the VM's role.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import type { Failure, FleetRole, Milliseconds } from "#core";
import {
  METRICS_PORT_VARIABLE,
  type NodeSettings,
  parseNodeSettings,
  SETTINGS_VARIABLE,
  withMetricsPort,
} from "#platform";
import { ControlNode } from "./control_node.ts";
import { EntryNode } from "./entry_node.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import type { PlatformNode } from "./node_base.ts";
import { startErrorText } from "./start_error.ts";
import { StoreNode } from "./store_node.ts";

const PROGRAM = "cicadafield";
const ROLES: readonly FleetRole[] = ["entry", "control", "store"];
const SETTINGS_CHECK_INTERVAL_MS: Milliseconds = 2_000;

async function main(): Promise<void> {
  const role = ROLES.find((each) => each === process.argv[2]);
  if (role === undefined) {
    exitWithUsageError(`usage: ${PROGRAM} ${ROLES.join(" | ")}`);
    return;
  }
  const path = process.env[SETTINGS_VARIABLE];
  if (path === undefined) {
    exitWithUsageError(
      `${PROGRAM}: ${SETTINGS_VARIABLE} is not set to a settings file`,
    );
    return;
  }
  const file = new SettingsFile(path);
  const settings = file.readChanged();
  if (settings === undefined) {
    process.exitCode = EXIT_CODES.failure;
    return;
  }
  const metricsPort = process.env[METRICS_PORT_VARIABLE];
  const node = buildNode(role, withMetricsPort(settings, metricsPort));
  await run(node, file);
}

function buildNode(role: FleetRole, settings: NodeSettings): PlatformNode {
  const options = { onFatal };
  if (role === "entry") return new EntryNode(settings);
  if (role === "control") return new ControlNode(settings, options);
  return new StoreNode(settings, options);
}

async function run(node: PlatformNode, file: SettingsFile): Promise<void> {
  let stopping = false;
  const stop = async (): Promise<void> => {
    if (stopping) return;
    stopping = true;
    await node.drain();
    process.exit(EXIT_CODES.success);
  };
  const reload = (): void => {
    const settings = file.readChanged();
    if (settings !== undefined) node.reload(settings);
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("SIGHUP", reload);
  setInterval(reload, SETTINGS_CHECK_INTERVAL_MS).unref();
  try {
    await node.start();
  } catch (error) {
    console.error(startErrorText(PROGRAM, error));
    process.exit(EXIT_CODES.failure);
  }
}

/** Reads the settings file. A file that is unreadable or malformed leaves the current settings unchanged. */
class SettingsFile {
  readonly #path: string;
  #lastText: string | undefined;

  constructor(path: string) {
    this.#path = path;
  }

  /** Returns the settings if the file has changed since the last call and is valid, else undefined. */
  readChanged(): NodeSettings | undefined {
    const text = this.#readText();
    if (text === undefined || text === this.#lastText) return undefined;
    this.#lastText = text;
    const settings = parseNodeSettings(text);
    if (settings.ok) return settings.val;
    for (const { setting, value, message } of settings.val) {
      console.error(`${PROGRAM}: ${setting}=${value ?? ""}: ${message}`);
    }
    return undefined;
  }

  #readText(): string | undefined {
    try {
      return readFileSync(this.#path, "utf8");
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      console.error(`${PROGRAM}: the settings can't be read: ${reason}`);
      return undefined;
    }
  }
}

function exitWithUsageError(text: string): void {
  console.error(text);
  process.exitCode = EXIT_CODES.usage;
}

function onFatal(failure: Failure): void {
  console.error(`${PROGRAM}: ${failure.message}`);
  process.exit(EXIT_CODES.failure);
}

await main();
