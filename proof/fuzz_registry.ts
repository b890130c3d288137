/**
 * `npm run fuzz -- registry`: fuzz model of the upstream registry, checked against a map.
 *
 * @module
 */
export { fuzzRegistry as fuzz } from "./registry_model.ts";
