/**
 * Small stand-ins for what lies outside: model engine, plain service, weight store, scorer and trainer. For the quickstart, tests and benchmarks.
 *
 * @module
 */
export {};
