/**
 * `npm run fuzz -- registry`: the upstream registry against a map.
 *
 * @module
 */
export { fuzzRegistry as fuzz } from "./registry_model.ts";
