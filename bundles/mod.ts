/**
 * Bundles: schema, canonical bytes, signatures, acceptance and deltas.
 *
 * @module
 */
export * from "./bundle_delta.ts";
export { retainNewest } from "./bundle_history.ts";
export { type BundleError, parseBundle } from "./bundle_schema.ts";
export * from "./bundle_signature.ts";
export * from "./bundles_machine.ts";
export * from "./configuration_machine.ts";
export * from "./sample_bundle.ts";
