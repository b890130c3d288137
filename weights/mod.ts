/**
 * Orders to engines: wished versions with fences, the rollout plan under the weight store's rate limit, reading back what engines serve.
 *
 * @module
 */
export {};
