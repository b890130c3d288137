/**
 * Where streams began, as the senders of calls see it.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** The software that writes a stream. */
export interface StreamOrigin {
  readonly service: string;
  /** Version of the software of the upstream that wrote the first event. */
  readonly softwareVersion: string;
}

/** What is known of the stream that an attempt began. */
export type OriginAnswer =
  | {
    readonly kind: "known";
    readonly origin: StreamOrigin;
    /** The VM that knew it. */
    readonly source: string;
    /** Time since that VM was told. */
    readonly ageMs: Milliseconds;
  }
  | {
    readonly kind: "unknown";
    readonly reason: string;
    /** Whether a VM that may know it did not reply, so that asking again can help. */
    readonly mayBecomeKnown: boolean;
  };

/** Stores and finds where streams began. */
export abstract class StreamOrigins {
  /**
   * Records that an attempt brings the first event of a stream, or that its stream goes on; `retentionMs` is how long
   * the stream may still be taken up.
   */
  abstract note(
    attempt: string,
    origin: StreamOrigin,
    retentionMs: Milliseconds,
  ): void;
  /** Returns where the stream began whose first event an attempt brought. */
  abstract find(attempt: string): Promise<OriginAnswer>;
}

/** For senders whose calls are no streams. */
export class NoStreamOrigins extends StreamOrigins {
  override note(): void {}

  override find(): Promise<OriginAnswer> {
    const reason = "this VM keeps no record of streams";
    return Promise.resolve({ kind: "unknown", reason, mayBecomeKnown: false });
  }
}
