/**
 * Handling of caller requests: admission, queueing, upstream selection, attempts that report truthfully
 * whether a request ran, claims of idempotency keys, and drains.
 *
 * @module
 */
export * from "./connection_probe.ts";
export * from "./adaptive_limit.ts";
export * from "./admission_queue.ts";
export * from "./attempt.ts";
export * from "./attempt_series.ts";
export * from "./claims.ts";
export * from "./decision_log.ts";
export * from "./demand_shares.ts";
export * from "./entry_requests.ts";
export * from "./events.ts";
export * from "./scheduler.ts";
export * from "./policy_settings.ts";
export * from "./upstream_client.ts";
export * from "./upstream_pool.ts";
export * from "./upstream_state.ts";
export * from "./work_item.ts";
export * from "./end_to_end_headers.ts";
export * from "./event_parser.ts";
export { type Attempt } from "./forwarded_attempt.ts";
export { type ForwardedCall, type RoutedCall } from "./forwarded_call.ts";
export * from "./forwarder.ts";
export * from "./route_rules.ts";
export * from "./run_report.ts";
export * from "./suspect_calls.ts";
export * from "./upstream_choice.ts";
export * from "./upstream_selector.ts";
export * from "./upstream_dialect.ts";
export * from "./upstream_http.ts";
export * from "./upstream_notices.ts";
export { UpstreamSocket } from "./upstream_socket.ts";
