#!/usr/bin/env node
/**
 * `cicadafield-control`: the program of a control VM.
 *
 * @module
 */
import process from "node:process";
import { CONTROL_SETTINGS } from "./control_settings.ts";
import { ControlVm } from "./control_wiring.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { runProgram } from "./run_daemon.ts";
import { testPartitionErrors } from "./test_partition.ts";

const PROGRAM = "cicadafield-control";

await runProgram({
  name: PROGRAM,
  summary:
    "stores bundles, claims, the sample ledger and orders in a replicated log, and sends orders to engines.",
  definitions: CONTROL_SETTINGS,
  conflicts: testPartitionErrors,
}, (settings) =>
  new ControlVm(settings, {
    onFatal: (failure) => {
      console.error(`${PROGRAM}: ${failure.message}`);
      process.exit(EXIT_CODES.failure);
    },
  }));
