/**
 * The base of the operator commands: `--json`, and how outcomes are printed.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { type Address, fail, type Milliseconds, SECOND_MS } from "#core";
import { isIP } from "node:net";
import { EXIT_CODES } from "../exit_codes.ts";
import { OperatorClient } from "../operator_client.ts";
import { type CommandOutcome, failureOutcome } from "./command_outcome.ts";

const REQUEST_TIMEOUT_MS: Milliseconds = 15 * SECOND_MS;
const ADDRESS_PATTERN = /^(.+):(\d{1,5})$/;
const MAXIMUM_PORT = 65_535;

/** An argument that is out of range or of the wrong form. */
export class ArgumentError extends Error {}

/** A command with `--json`. */
export abstract class OperatorCommand extends Command {
  json = Option.Boolean("--json", false, {
    description: "Print one line of JSON instead of text.",
  });

  /** Does the work. */
  abstract run(): Promise<CommandOutcome>;

  override async execute(): Promise<number> {
    const outcome = await this.#runToOutcome();
    if (this.json) {
      this.context.stdout.write(JSON.stringify(outcome.json) + "\n");
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

/** A command that asks entry VMs. */
export abstract class EntryCommand extends OperatorCommand {
  entry = Option.Array("--entry", {
    description:
      "Entry VM as HOST:PORT; give several to ask the next if one does not answer. Default: CICADAFIELD_ENTRY, separated by commas.",
  });

  /** A client of the entry VMs given. */
  createClient(): OperatorClient {
    const variable = this.context.env["CICADAFIELD_ENTRY"] ?? "";
    const texts = this.entry ??
      variable.split(",").filter((each) => each !== "");
    if (texts.length === 0) {
      throw new ArgumentError(
        "name an entry VM with --entry HOST:PORT or CICADAFIELD_ENTRY",
      );
    }
    return new OperatorClient(texts.map(parseEntryAddress), REQUEST_TIMEOUT_MS);
  }
}

/** Reads `HOST:PORT`, the host as an IP number. */
export function parseEntryAddress(text: string): Address {
  const [, host = "", portText = ""] = ADDRESS_PATTERN.exec(text) ?? [];
  const port = Number(portText);
  if (isIP(host) === 0 || port < 1 || port > MAXIMUM_PORT) {
    throw new ArgumentError(
      `--entry ${text}: must be HOST:PORT with an IP number, such as 10.0.1.7:8000`,
    );
  }
  return { host, port };
}

/** Reads a whole number of at least 1. */
export function parsePositiveInteger(name: string, text: string): number {
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < 1) {
    throw new ArgumentError(
      `${name} ${text}: must be a whole number of at least 1`,
    );
  }
  return value;
}
