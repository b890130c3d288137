/**
 * Identifies callers by their API keys, under a lease on the configuration that lists the keys.
 *
 * @module
 */
export * from "./caller_check.ts";
export * from "./clock_readings.ts";
export * from "./configuration_lease.ts";
export * from "./events.ts";
export * from "./key_directory.ts";
export * from "./lease_client.ts";
export * from "./lease_messages.ts";
export * from "./lease_server.ts";
export * from "./service_overload.ts";
export * from "./tenant_demand.ts";
export * from "./tenant_rates.ts";
export * from "./tenant_shares.ts";
