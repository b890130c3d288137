/**
 * Orders to engines to serve published model versions: desired versions with their fences, the rollout
 * plan under the weight store's rate limit, and polling of the versions that engines serve.
 *
 * @module
 */
export * from "./engine_port.ts";
export * from "./events.ts";
export * from "./orders_machine.ts";
export * from "./rollout_plan.ts";
export * from "./weights_coordinator.ts";
export { ORDER_TIMEOUT_MS as ORDER_LIMIT_MS } from "./leader_state.ts";
export * from "./engine_orders.ts";
export * from "./load_plan.ts";
export * from "./version_lag.ts";
export * from "./versions_machine.ts";
