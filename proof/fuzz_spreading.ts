/**
 * `npm run fuzz -- spreading`: fuzz model of the distribution of accepted bundles, checked against the list of them.
 *
 * @module
 */
export { fuzzSpreading as fuzz } from "./spreading_model.ts";
