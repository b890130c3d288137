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
  readNodeSettings,
  SETTINGS_VARIABLE,
} from "#platform";
import { ControlNode } from "./control_node.ts";
import { EntryNode } from "./entry_node.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import type { PlatformNode } from "./node_base.ts";
import { startFaultText } from "./start_fault.ts";
import { StoreNode } from "./store_node.ts";

const PROGRAM = "cicadafield";
const ROLES: readonly FleetRole[] = ["entry", "control", "store"];
const SETTINGS_CHECK_MS: Milliseconds = 2_000;

await main();

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
  const settings = readFile(path);
  if (settings === undefined) {
    process.exitCode = EXIT_CODES.failure;
    return;
  }
  await run(build(role, settings), path);
}

function build(role: FleetRole, settings: NodeSettings): PlatformNode {
  const options = { onFatal };
  if (role === "entry") return new EntryNode(settings);
  if (role === "control") return new ControlNode(settings, options);
  return new StoreNode(settings, options);
}

async function run(node: PlatformNode, path: string): Promise<void> {
  let stopping = false;
  const stop = async (): Promise<void> => {
    if (stopping) return;
    stopping = true;
    await node.drain();
    process.exit(EXIT_CODES.success);
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("SIGHUP", () => reload(node, path));
  setInterval(() => reload(node, path), SETTINGS_CHECK_MS).unref();
  try {
    await node.start();
  } catch (error) {
    console.error(startFaultText(PROGRAM, error));
    process.exit(EXIT_CODES.failure);
  }
}

/** A file that can't be read or is malformed leaves the settings as they are. */
function reload(node: PlatformNode, path: string): void {
  const settings = readFile(path);
  if (settings !== undefined) node.reload(settings);
}

function readFile(path: string): NodeSettings | undefined {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    console.error(`${PROGRAM}: ${path} can't be read: ${String(error)}`);
    return undefined;
  }
  const settings = readNodeSettings(text);
  if (settings.ok) return settings.val;
  for (const { setting, value, message } of settings.val) {
    console.error(`${PROGRAM}: ${setting}=${value ?? ""}: ${message}`);
  }
  return undefined;
}

function stopWith(text: string): void {
  console.error(text);
  process.exitCode = EXIT_CODES.usage;
}

function onFatal(failure: Failure): void {
  console.error(`${PROGRAM}: ${failure.message}`);
  process.exit(EXIT_CODES.failure);
}
