/**
 * Replicated log of the control VMs.
 *
 * @module
 */
export * from "./replicated_log.ts";
export * from "./single_replica_log.ts";
export * from "./data_folder.ts";
export * from "./events.ts";
export * from "./file_folder.ts";
export * from "./memory_folder.ts";
export type { LogSizes } from "./log_sizes.ts";
export * from "./quorum_log.ts";
export * from "./timing.ts";
