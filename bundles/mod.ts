/**
 * Bundles: schema, canonical bytes, Ed25519 signatures, acceptance by compare-and-set in the log, and the delta a VM needs to catch up.
 *
 * @module
 */
export {};
