/**
 * Base classes of the operator commands: `--json`, `--entry` and the printing of outcomes.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { type Address, fail, type Milliseconds, SECOND_MS } from "#core";
import { isIP } from "node:net";
import { EXIT_CODES } from "../exit_codes.ts";
import { OperatorClient } from "../operator_client.ts";
import { type CommandOutcome, failureOutcome } from "./command_outcome.ts";

/** Time for the response of a VM. */
export const REQUEST_TIMEOUT_MS: Milliseconds = 15 * SECOND_MS;
const ADDRESS_PATTERN = /^(.+):(\d{1,5})$/;
const MAXIMUM_PORT = 65_535;

/** An argument that is out of range or malformed. */
export class ArgumentError extends Error {}

/** A command that prints its outcome as text, or as JSON with `--json`. */
export abstract class OperatorCommand extends Command {
  json = Option.Boolean("--json", false, {
    description: "Print one line of JSON instead of text.",
  });

  /** Runs the command and returns its outcome. */
  abstract run(): Promise<CommandOutcome>;

  override async execute(): Promise<number> {
    const outcome = await this.#runToOutcome();
    if (this.json) {
      const values = outcome.jsonLines ?? [outcome.json];
      for (const value of values) {
        this.context.stdout.write(JSON.stringify(value) + "\n");
      }
      return outcome.exitCode;
    }
    const failed = outcome.exitCode !== EXIT_CODES.success;
    const stream = failed ? this.context.stderr : this.context.stdout;
    stream.write(outcome.text + "\n");
    return outcome.exitCode;
  }

  async #runToOutcome(): Promise<CommandOutcome> {
    try {
      return await this.run();
    } catch (error) {
      if (!(error instanceof ArgumentError)) throw error;
      return failureOutcome(fail("invalid_settings", error.message));
    }
  }
}

/** A command that sends requests to entry VMs. */
export abstract class EntryCommand extends OperatorCommand {
  entry = Option.Array("--entry", {
    description:
      "Entry VM as HOST:PORT. Repeat the option to try the next VM if one does not respond. Default: CICADAFIELD_ENTRY, separated by commas.",
  });

  /** Returns a client of the entry VMs from `--entry` or `CICADAFIELD_ENTRY`. */
  createClient(): OperatorClient {
    const variable = this.context.env["CICADAFIELD_ENTRY"] ?? "";
    const addresses = this.entry ??
      variable.split(",").filter((each) => each !== "");
    if (addresses.length === 0) {
      throw new ArgumentError(
        "specify an entry VM with --entry HOST:PORT or CICADAFIELD_ENTRY",
      );
    }
    return new OperatorClient(
      addresses.map(parseEntryAddress),
      REQUEST_TIMEOUT_MS,
    );
  }
}

/** Parses `HOST:PORT`, where the host is an IP address. */
export function parseEntryAddress(text: string): Address {
  const [, host = "", portText = ""] = ADDRESS_PATTERN.exec(text) ?? [];
  const port = Number(portText);
  if (isIP(host) === 0 || port < 1 || port > MAXIMUM_PORT) {
    throw new ArgumentError(
      `--entry ${text}: must be HOST:PORT with an IP address, such as 10.0.1.7:8000`,
    );
  }
  return { host, port };
}

/** Parses an integer of at least 1. */
export function parsePositiveInteger(name: string, text: string): number {
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < 1) {
    throw new ArgumentError(
      `${name} ${text}: must be an integer of at least 1`,
    );
  }
  return value;
}
