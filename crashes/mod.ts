/**
 * Calls that crash the upstreams which run them: found out by what ends under them, run apart from each other while they
 * are suspects, and blocked after several crashes.
 *
 * @module
 */
export * from "./call_digest.ts";
export * from "./caller_guard.ts";
export * from "./crash_guard.ts";
export * from "./events.ts";
export * from "./isolated_runs.ts";
export * from "./isolation_messages.ts";
export * from "./isolation_port.ts";
export * from "./isolation_server.ts";
export * from "./trials_machine.ts";
