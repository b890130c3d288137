/**
 * Limits of the HTTP server.
 *
 * @module
 */
import type { ServerOptions } from "node:http";
import {
  type Bytes,
  KIBIBYTE,
  MEBIBYTE,
  type Milliseconds,
  SECOND_MS,
} from "#core";

const TIMEOUT_CHECKS_PER_TIMEOUT = 4;

/** What the HTTP server takes from callers at most. */
export interface HttpLimits {
  readonly maximumBodyBytes: Bytes;
  /** Request line and headers together. */
  readonly maximumHeaderBytes: Bytes;
  /** Open connections; more are closed at once. */
  readonly maximumConnections: number;
  /** Requests that one connection sends before the first is answered; it is closed after those. */
  readonly maximumPipelinedRequests: number;
  /** Time for the headers of a request to arrive. */
  readonly headersTimeoutMs: Milliseconds;
  /** Time for a whole request to arrive. */
  readonly requestTimeoutMs: Milliseconds;
  /** How long a connection without a request stays open. */
  readonly keepAliveMs: Milliseconds;
  /** Longest time without the caller taking any byte of an answer. */
  readonly sendTimeoutMs: Milliseconds;
  /** How long the rest of a refused body is read and dropped, so that the caller sees the refusal. */
  readonly lingerMs: Milliseconds;
}

/** Limits for a small VM. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  maximumBodyBytes: 4 * MEBIBYTE,
  maximumHeaderBytes: 16 * KIBIBYTE,
  maximumConnections: 2_048,
  maximumPipelinedRequests: 64,
  headersTimeoutMs: 10 * SECOND_MS,
  requestTimeoutMs: 30 * SECOND_MS,
  keepAliveMs: 60 * SECOND_MS,
  sendTimeoutMs: 30 * SECOND_MS,
  lingerMs: SECOND_MS,
};

/** The options of Node's server that hold the limits. */
export function nodeServerOptions(limits: HttpLimits): ServerOptions {
  const headersTimeout = Math.min(
    limits.headersTimeoutMs,
    limits.requestTimeoutMs,
  );
  return {
    maxHeaderSize: limits.maximumHeaderBytes,
    headersTimeout,
    requestTimeout: limits.requestTimeoutMs,
    keepAliveTimeout: limits.keepAliveMs,
    connectionsCheckingInterval: Math.ceil(
      headersTimeout / TIMEOUT_CHECKS_PER_TIMEOUT,
    ),
    noDelay: true,
    requireHostHeader: false,
  };
}
