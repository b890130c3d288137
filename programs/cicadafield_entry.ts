#!/usr/bin/env node
/**
 * `cicadafield-entry`: the program of an entry VM.
 *
 * @module
 */
import { ENTRY_SETTINGS } from "./entry_settings.ts";
import { EntryVm } from "./entry_wiring.ts";
import { runProgram } from "./run_daemon.ts";
import { testPartitionErrors } from "./test_partition.ts";

await runProgram({
  name: "cicadafield-entry",
  summary:
    "accepts requests from callers and trainers, routes them to upstreams and generates samples.",
  definitions: ENTRY_SETTINGS,
  conflicts: testPartitionErrors,
}, (settings) => new EntryVm(settings));
