/**
 * Batches: acceptance, items and their runs, results.
 *
 * @module
 */
export * from "./batch_client.ts";
export * from "./batch_runner.ts";
export * from "./batch_service.ts";
export * from "./batch_state.ts";
export * from "./batch_state_limit.ts";
export * from "./batch_types.ts";
export * from "./batches_machine.ts";
export * from "./events.ts";
export * from "./forwarded_scoring.ts";
export * from "./held_text.ts";
export * from "./item_plan.ts";
export { type ScoringOutcome, ScoringPort } from "./item_scoring.ts";
export * from "./scoring_plan.ts";
