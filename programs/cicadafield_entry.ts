#!/usr/bin/env node
/**
 * `cicadafield-entry`: the entry VM's program.
 *
 * @module
 */
import process from "node:process";
import { ENTRY_SETTINGS } from "./entry_settings.ts";
import { EntryVm } from "./entry_wiring.ts";
import { readProgramSettings } from "./program_settings.ts";
import { runDaemon } from "./run_daemon.ts";
import { testCutFaults } from "./test_cut.ts";

const PROGRAM = "cicadafield-entry";

const outcome = readProgramSettings({
  name: PROGRAM,
  summary:
    "takes requests of callers and trainers, routes them to upstreams and makes samples.",
  definitions: ENTRY_SETTINGS,
  contradictions: testCutFaults,
}, { argv: process.argv.slice(2), environment: process.env });

if (outcome.kind === "exit") {
  const stream = outcome.exitCode === 0 ? process.stdout : process.stderr;
  stream.write(outcome.text);
  process.exitCode = outcome.exitCode;
} else {
  await runDaemon(PROGRAM, new EntryVm(outcome.values));
}
