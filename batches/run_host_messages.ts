/**
 * Messages on the `runs` channel: the leader of the batch log has items run by other store VMs, its run hosts.
 *
 * @module
 */
import { z } from "zod";
import type { FleetUpstream, Milliseconds } from "#core";
import type { GeneratedEvent, RunOutcome } from "./item_run.ts";

/** Which weight versions may generate events of a text. */
export interface AllowedVersions {
  readonly minimum: number;
  /** Whether all events must have the same version. */
  readonly single: boolean;
  /** Versions of the events so far. */
  readonly used: readonly number[];
}

/** A run that a host is to carry out. */
export interface HostedRunOrder {
  readonly run: string;
  readonly upstream: FleetUpstream;
  /** Host name of the batch's route. */
  readonly host: string;
  readonly item: {
    readonly id: string;
    readonly target: string;
    readonly headers: readonly string[];
    readonly body: Uint8Array;
  };
  readonly afterEvent: number | null;
  readonly versions: AllowedVersions;
}

/** A request of the leader. A session ends with the leadership; a host cancels the runs of earlier ones. */
export type RunHostRequest =
  | {
    readonly kind: "start";
    readonly session: string;
    readonly order: HostedRunOrder;
  }
  | {
    readonly kind: "poll";
    readonly session: string;
    /** Runs to cancel. */
    readonly cancelled: readonly string[];
  };

/** An event with the time that the engine took for it. */
export interface HostedEvent extends GeneratedEvent {
  /** Time since the event before it, or null for the first one of the run. */
  readonly intervalMs: Milliseconds | null;
}

/** What happened to a run since the poll before. */
export interface HostedRunNews {
  readonly run: string;
  readonly events: readonly HostedEvent[];
  /** Whether the engine stated that it is leaving. */
  readonly engineLeaves: boolean;
  /** Present once the run has ended. */
  readonly outcome: RunOutcome | null;
}

/** Reply to a poll. */
export interface PollReply {
  readonly news: readonly HostedRunNews[];
}

const requestSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("start"),
    session: z.string(),
    order: z.object({ run: z.string() }),
  }),
  z.object({
    kind: z.literal("poll"),
    session: z.string(),
    cancelled: z.array(z.string()),
  }),
]);

/** Checks the outer structure of a request; returns undefined if it is malformed. */
export function parseRunHostRequest(body: unknown): RunHostRequest | undefined {
  return requestSchema.safeParse(body).success
    ? body as RunHostRequest
    : undefined;
}
