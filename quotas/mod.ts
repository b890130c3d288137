/**
 * Shares the limits of requests per second that upstreams name among all VMs that send to them.
 *
 * @module
 */
export * from "./events.ts";
export * from "./permit_allocator.ts";
export * from "./permit_client.ts";
export * from "./permit_messages.ts";
export * from "./permit_port.ts";
export * from "./permit_server.ts";
export * from "./permits.ts";
export * from "./rate_bucket.ts";
export * from "./service_demand.ts";
export * from "./service_permits.ts";
