/**
 * Requests of callers: admission, queues, selection of an upstream, attempts with the truth about whether a request ran, claims of keyed requests, drains.
 *
 * @module
 */
export * from "./attempt.ts";
export * from "./claims.ts";
export * from "./decision_log.ts";
export * from "./entry_requests.ts";
export * from "./events.ts";
export * from "./scheduler.ts";
export * from "./upstream_client.ts";
export * from "./work_item.ts";
