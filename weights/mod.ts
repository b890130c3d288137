/**
 * Orders to engines: wished versions with fences, the rollout plan under the weight store's rate limit,
 * reading back what engines serve.
 *
 * @module
 */
export * from "./engine_port.ts";
export * from "./events.ts";
export * from "./orders_machine.ts";
export * from "./rollout_plan.ts";
export * from "./weights_coordinator.ts";
export { ORDER_TIMEOUT_MS as ORDER_LIMIT_MS } from "./leadership.ts";
export * from "./engine_orders.ts";
export * from "./load_plan.ts";
export * from "./version_lag.ts";
export * from "./versions_machine.ts";
