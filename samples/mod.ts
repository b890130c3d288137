/**
 * Samples for trainers: the ledger of steps and groups in the replicated log, generation, scoring,
 * delivery by cursor, and the staleness bound.
 *
 * @module
 */
export * from "./cursor.ts";
export * from "./ledger_machine.ts";
export * from "./ledger_types.ts";
export type { TrainerLookup as TrainerRules } from "./ledger_leases.ts";
export { HOLDER_LEASE_MS } from "./ledger_leases.ts";
export * from "./entry_samples.ts";
export * from "./events.ts";
export * from "./engine_state.ts";
export * from "./straggler_policy.ts";
export * from "./engine_state_client.ts";
