/**
 * `npm run fuzz -- spreading`: the spreading of accepted bundles against the list of them.
 *
 * @module
 */
export { fuzzSpreading as fuzz } from "./spreading_model.ts";
