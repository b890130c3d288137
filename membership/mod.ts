/**
 * Tracks which VMs and upstreams exist and are alive: probes between VMs, announcements of upstreams and
 * their replication, and distribution of accepted bundles.
 *
 * @module
 */
export * from "./blocked_call_store.ts";
export * from "./bundle_follower.ts";
export * from "./bundle_server.ts";
export * from "./control_client.ts";
export { parseVmStatus, type VmStatus } from "./control_messages.ts";
export * from "./control_leader.ts";
export * from "./control_replica.ts";
export * from "./control_server.ts";
export * from "./crash_ledger.ts";
export * from "./crash_records.ts";
export * from "./departures_machine.ts";
export * from "./events.ts";
export * from "./fleet_follower.ts";
export * from "./fleet_messages.ts";
export * from "./fleet_server.ts";
export * from "./fleet_table.ts";
export * from "./isolation_check.ts";
export * from "./known_crashes.ts";
export * from "./leader_client.ts";
export { type RequestTimeouts } from "./leader_request.ts";
export * from "./member_service.ts";
export * from "./member_table.ts";
export * from "./placement_manager.ts";
export * from "./placement_machine.ts";
export * from "./placement_plan.ts";
export * from "./registry_service.ts";
export { readJson, upstreamRoutes } from "./upstream_routes.ts";
export * from "./upstream_check.ts";
export * from "./upstream_registry.ts";
export * from "./vm_directory.ts";
