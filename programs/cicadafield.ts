/**
 * `cicadafield`: the operators' command-line program. `exit_codes.ts` defines its exit codes.
 *
 * @module
 */
import process from "node:process";
import { Builtins, Cli, type CommandClass } from "clipanion";
import { COMMANDS } from "./commands/mod.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { VERSION } from "./version.ts";

function buildCli(): Cli {
  const cli = new Cli({
    binaryLabel: "cicadafield",
    binaryName: "cicadafield",
    binaryVersion: VERSION,
    enableColors: process.stdout.isTTY === true,
  });
  const builtins: CommandClass[] = [
    Builtins.HelpCommand,
    Builtins.VersionCommand,
  ];
  for (const command of [...builtins, ...COMMANDS]) cli.register(command);
  return cli;
}

async function main(argv: readonly string[]): Promise<number> {
  const cli = buildCli();
  const context = { ...Cli.defaultContext, env: process.env };
  try {
    return await cli.run(cli.process([...argv], context), context);
  } catch (error) {
    process.stderr.write(cli.error(error));
    return EXIT_CODES.usage;
  }
}

process.exitCode = await main(process.argv.slice(2));
