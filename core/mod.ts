/**
 * Types and small services that all other folders use.
 *
 * @module
 */
export * from "./blackboard.ts";
export * from "./body_buffer.ts";
export * from "./buffer_pool.ts";
export * from "./byte_budget.ts";
export * from "./board_sections.ts";
export * from "./bounded_event_log.ts";
export * from "./bundle.ts";
export * from "./caller.ts";
export * from "./clock.ts";
export * from "./configuration.ts";
export * from "./error_kinds.ts";
export * from "./estimated_size.ts";
export * from "./events.ts";
export * from "./http.ts";
export * from "./fleet.ts";
export * from "./garbage_collection.ts";
export * from "./garbage_meter.ts";
export * from "./listening.ts";
export * from "./local_control.ts";
export * from "./loopback_host.ts";
export * from "./memory_holder.ts";
export * from "./memory_watch.ts";
export * from "./metrics.ts";
export * from "./ports.ts";
export * from "./random.ts";
export * from "./marked_end.ts";
export * from "./response_status.ts";
export * from "./result.ts";
export * from "./settings.ts";
export * from "./state_machine.ts";
export * from "./suspension_clock.ts";
export * from "./units.ts";
export * from "./upstream.ts";
