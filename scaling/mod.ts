/**
 * Orders upstreams: replaces those that are lost, and adds some when work would be late.
 *
 * @module
 */
export * from "./autoscaler.ts";
export * from "./events.ts";
export * from "./scaling_machine.ts";
export * from "./scaling_plan.ts";
export * from "./upstream_order_port.ts";
