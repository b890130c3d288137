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

/** Limits on what the HTTP server accepts from clients. */
export interface HttpLimits {
  readonly maximumBodyBytes: Bytes;
  /** Bodies of all requests in progress together; a request whose body exceeds it is rejected with 503. */
  readonly maximumHeldBodyBytes: Bytes;
  /** Responses being written together; one that exceeds it is replaced by the failure `outcome_unknown`. */
  readonly maximumHeldResponseBytes: Bytes;
  /** Size of the request line and headers together. */
  readonly maximumHeaderBytes: Bytes;
  /** Header fields of a request; one with more is rejected with 431. */
  readonly maximumHeaderFields: number;
  /** Open connections; a further one replaces one that has not sent any request, or is closed at once. */
  readonly maximumConnections: number;
  /** Requests that a connection may pipeline; it is closed after responding to these if it sends more. */
  readonly maximumPipelinedRequests: number;
  /** Requests without a response on a connection from which on no further one is read until the client reads one. */
  readonly maximumUnansweredRequests: number;
  /** Time for the headers of a request to arrive. */
  readonly headersTimeoutMs: Milliseconds;
  /** Time for a complete request to arrive. */
  readonly requestTimeoutMs: Milliseconds;
  /** How long an idle connection stays open. */
  readonly keepAliveMs: Milliseconds;
  /** Longest wait for the client to drain what was written of a response. */
  readonly sendTimeoutMs: Milliseconds;
  /** How long the rest of a rejected body is read and discarded, so that the client sees the rejection. */
  readonly lingerMs: Milliseconds;
}

/** Default limits, for a small VM. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  maximumBodyBytes: 4 * MEBIBYTE,
  maximumHeldBodyBytes: 40 * MEBIBYTE,
  maximumHeldResponseBytes: 40 * MEBIBYTE,
  maximumHeaderBytes: 16 * KIBIBYTE,
  maximumHeaderFields: 4 * KIBIBYTE,
  maximumConnections: 2_048,
  maximumPipelinedRequests: 64,
  maximumUnansweredRequests: 8,
  headersTimeoutMs: 10 * SECOND_MS,
  requestTimeoutMs: 30 * SECOND_MS,
  keepAliveMs: 60 * SECOND_MS,
  sendTimeoutMs: 30 * SECOND_MS,
  lingerMs: SECOND_MS,
};

/** Returns the options of Node's HTTP server that enforce the limits. */
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
