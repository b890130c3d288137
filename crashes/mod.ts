/**
 * Calls that crash the upstreams which run them.
 *
 * @module
 */
export * from "./call_digest.ts";
