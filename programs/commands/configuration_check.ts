/**
 * `cicadafield configuration check FILE`.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { readFile } from "node:fs/promises";
import {
  type Address,
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
  type RoutingConfiguration,
} from "#core";
import {
  checkConfiguration,
  type CheckedConfiguration,
  type ConfigurationFinding,
  decodeConfiguration,
} from "#platform";
import { EXIT_CODES } from "../exit_codes.ts";
import { OperatorClient } from "../operator_client.ts";
import {
  type CommandHelp,
  type CommandOutcome,
  failureOutcome,
} from "./command_outcome.ts";
import { REQUEST_TIMEOUT_MS } from "./operator_command.ts";

const ADDRESS_PATTERN = /^([^/]+):(\d{1,5})$/;

/** Command lines that run the command. */
export const commandNames: string[][] = [["configuration", "check"]];

/** Help text of the command. */
export const help: CommandHelp = {
  category: "Configuration",
  description:
    "Check a configuration of the platform, and compare it with another one.",
  details:
    "Prints one line for each finding: errors, for which the server rejects or ignores the configuration; warnings, such as entries that can never match and limits that contradict each other; and, with --against, changes. With --json each finding is a line of JSON. No API key is printed. Exits with 1 if there is an error, with 2 if a file can't be read or the other configuration is invalid, and with 4 if the other one can't be fetched.",
  examples: [
    ["Check a file", "cicadafield configuration check next.json"],
    [
      "Compare with the active configuration",
      "cicadafield configuration check next.json --against 10.0.1.1:7600",
    ],
  ],
};

/** Options of `cicadafield configuration check`. */
export interface ConfigurationCheckOptions {
  readonly file: string;
  /** File or control address of the configuration to compare with. */
  readonly against?: string;
}

/** Checks the configuration in a file. */
export async function handler(
  { file, against }: ConfigurationCheckOptions,
): Promise<CommandOutcome> {
  const body = await readBytes(file);
  if (body.err) return failureOutcome(body.val);
  if (against === undefined) {
    return checkedOutcome(file, checkConfiguration(body.val));
  }
  const active = await readOther(against);
  if (active.err) return failureOutcome(active.val);
  const options = { against: active.val };
  return checkedOutcome(file, checkConfiguration(body.val, options));
}

function checkedOutcome(
  file: string,
  { version, findings }: CheckedConfiguration,
): CommandOutcome {
  const errors = findings.filter(({ severity }) => severity === "error");
  const lines = findings.map(formatFinding);
  if (findings.length === 0) {
    lines.push(`${file}: version ${version} has no findings`);
  }
  return {
    exitCode: errors.length > 0 ? EXIT_CODES.failure : EXIT_CODES.success,
    text: lines.join("\n"),
    json: findings,
    jsonLines: findings,
  };
}

function formatFinding(
  { severity, subject, message }: ConfigurationFinding,
): string {
  return `${severity}: ${subject}: ${message}`;
}

async function readOther(
  source: string,
): Promise<Result<RoutingConfiguration, Failure>> {
  const address = parseAddress(source);
  const body = address === undefined
    ? await readBytes(source)
    : await fetchActive(address);
  if (body.err) return Err(body.val);
  const decoded = decodeConfiguration(body.val);
  if (decoded.ok) return Ok(decoded.val.rules);
  const message = `${source} is no valid configuration: ${decoded.val.message}`;
  return Err(fail("invalid_settings", message, { field: "against" }));
}

function parseAddress(text: string): Address | undefined {
  const [, host, port] = ADDRESS_PATTERN.exec(text) ?? [];
  if (host === undefined || port === undefined) return undefined;
  return { host, port: Number(port) };
}

async function fetchActive(
  address: Address,
): Promise<Result<Uint8Array, Failure>> {
  const client = new OperatorClient([address], REQUEST_TIMEOUT_MS);
  const response = await client.send({ method: "GET", path: "/config/read" });
  if (response.err) return Err(response.val);
  return Ok(Buffer.from(JSON.stringify(response.val)));
}

async function readBytes(file: string): Promise<Result<Uint8Array, Failure>> {
  try {
    return Ok(await readFile(file));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    const message = `${file} can't be read: ${reason}`;
    return Err(fail("invalid_settings", message, { field: "file" }));
  }
}
