/**
 * Requests of callers: admission, queues, selection of an upstream, attempts with the truth about whether a request ran, claims of keyed requests, drains.
 *
 * @module
 */
export {};
