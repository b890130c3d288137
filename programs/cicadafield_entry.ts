#!/usr/bin/env node
/**
 * `cicadafield-entry`: the entry VM's program.
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
    "takes requests of callers and trainers, routes them to upstreams and makes samples.",
  definitions: ENTRY_SETTINGS,
  conflicts: testPartitionErrors,
}, (settings) => new EntryVm(settings));
