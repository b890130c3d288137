/**
 * Fakes of the external systems: model engine, plain service, weight store, scorer and trainer. For the
 * quickstart, tests and benchmarks.
 *
 * @module
 */
export * from "./announcer.ts";
export * from "./build_fakes.ts";
export * from "./completion_request.ts";
export * from "./engine.ts";
export * from "./engine_batch.ts";
export * from "./engine_record.ts";
export * from "./engine_weights.ts";
export * from "./events.ts";
export * from "./fake_server.ts";
export * from "./fake_settings.ts";
export * from "./json_client.ts";
export * from "./prefix_cache.ts";
export * from "./service.ts";
export * from "./token_text.ts";
export * from "./trainer.ts";
export * from "./trainer_protocol.ts";
export * from "./trainer_tally.ts";
export * from "./upstream_server.ts";
export * from "./weight_store.ts";
