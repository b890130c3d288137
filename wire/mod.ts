/**
 * Messages between the system's own VMs.
 *
 * @module
 */
export * from "./events.ts";
export * from "./frame.ts";
export * from "./memory_network.ts";
export * from "./messages.ts";
export * from "./peer_network.ts";
export * from "./tcp_network.ts";
