#!/usr/bin/env node
/**
 * `cicadafield-control`: the control VM's program.
 *
 * @module
 */
import process from "node:process";
import { CONTROL_SETTINGS } from "./control_settings.ts";
import { ControlVm } from "./control_wiring.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { readProgramSettings } from "./program_settings.ts";
import { runDaemon } from "./run_daemon.ts";
import { testCutFaults } from "./test_cut.ts";

const PROGRAM = "cicadafield-control";

const outcome = readProgramSettings({
  name: PROGRAM,
  summary:
    "keeps bundles, claims, the sample ledger and orders in a replicated log, and gives orders to engines.",
  definitions: CONTROL_SETTINGS,
  contradictions: testCutFaults,
}, { argv: process.argv.slice(2), environment: process.env });

if (outcome.kind === "exit") {
  const stream = outcome.exitCode === 0 ? process.stdout : process.stderr;
  stream.write(outcome.text);
  process.exitCode = outcome.exitCode;
} else {
  const vm = new ControlVm(outcome.values, {
    onFatal: (failure) => {
      console.error(`${PROGRAM}: ${failure.message}`);
      process.exit(EXIT_CODES.failure);
    },
  });
  await runDaemon(PROGRAM, vm);
}
