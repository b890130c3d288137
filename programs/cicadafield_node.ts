/**
 * The program of every VM on the users' platform; the first argument names the role.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import type { Failure, FleetRole, Milliseconds } from "#core";
import {
  type NodeSettings,
  parseNodeSettings,
  SETTINGS_VARIABLE,
} from "#platform";
import { ControlNode } from "./control_node.ts";
import { EntryNode } from "./entry_node.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import type { PlatformNode } from "./node_base.ts";
import { startErrorText } from "./start_error.ts";
import { StoreNode } from "./store_node.ts";

const PROGRAM = "cicadafield";
const ROLES: readonly FleetRole[] = ["entry", "control", "store"];
const SETTINGS_CHECK_MS: Milliseconds = 2_000;

async function main(): Promise<void> {
  const role = ROLES.find((each) => each === process.argv[2]);
  if (role === undefined) {
    stopWith(`usage: ${PROGRAM} ${ROLES.join(" | ")}`);
    return;
  }
  const path = process.env[SETTINGS_VARIABLE];
  if (path === undefined) {
    stopWith(`${PROGRAM}: ${SETTINGS_VARIABLE} names no settings file`);
    return;
  }
  const file = new SettingsFile(path);
  const settings = file.read();
  if (settings === undefined) {
    process.exitCode = EXIT_CODES.failure;
    return;
  }
  await run(build(role, settings), file);
}

function build(role: FleetRole, settings: NodeSettings): PlatformNode {
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
    const settings = file.read();
    if (settings !== undefined) node.reload(settings);
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("SIGHUP", reload);
  setInterval(reload, SETTINGS_CHECK_MS).unref();
  try {
    await node.start();
  } catch (error) {
    console.error(startErrorText(PROGRAM, error));
    process.exit(EXIT_CODES.failure);
  }
}

/** The settings file; one that can't be read or is malformed leaves the settings as they are. */
class SettingsFile {
  readonly #path: string;
  #text: string | undefined;

  constructor(path: string) {
    this.#path = path;
  }

  /** The settings if they have changed since the last call and are right. */
  read(): NodeSettings | undefined {
    const text = this.#load();
    if (text === undefined || text === this.#text) return undefined;
    this.#text = text;
    const settings = parseNodeSettings(text);
    if (settings.ok) return settings.val;
    for (const { setting, value, message } of settings.val) {
      console.error(`${PROGRAM}: ${setting}=${value ?? ""}: ${message}`);
    }
    return undefined;
  }

  #load(): string | undefined {
    try {
      return readFileSync(this.#path, "utf8");
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      console.error(`${PROGRAM}: the settings can't be read: ${reason}`);
      return undefined;
    }
  }
}

function stopWith(text: string): void {
  console.error(text);
  process.exitCode = EXIT_CODES.usage;
}

function onFatal(failure: Failure): void {
  console.error(`${PROGRAM}: ${failure.message}`);
  process.exit(EXIT_CODES.failure);
}

await main();
