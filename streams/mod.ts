/**
 * Where streams began, so that any VM can tell at which upstreams they may go on.
 *
 * @module
 */
export * from "./origin_client.ts";
export * from "./origin_messages.ts";
export * from "./origin_server.ts";
export * from "./origin_table.ts";
export * from "./stream_origins.ts";
