/**
 * The replicated log of the control VMs.
 *
 * @module
 */
export * from "./replicated_log.ts";
export * from "./single_replica_log.ts";
