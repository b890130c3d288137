/**
 * Duties that only one VM performs at a time, and reports of the usage of tenants.
 *
 * @module
 */
export * from "./duties_machine.ts";
export * from "./duty_holder.ts";
export * from "./duty_port.ts";
export * from "./events.ts";
export * from "./tenant_list.ts";
export * from "./usage_collector.ts";
export * from "./usage_counter.ts";
export * from "./usage_metrics.ts";
export * from "./usage_reporter.ts";
export * from "./usage_schedule.ts";
export * from "./window_clock.ts";
