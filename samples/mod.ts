/**
 * Steps and groups of trainers: the ledger in the replicated log, generation, scoring, delivery by cursor and the staleness bound.
 *
 * @module
 */
export {};
