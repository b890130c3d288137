/**
 * Envelopes, the content of frames. The domain that owns a channel defines the bodies on it and validates them
 * itself.
 *
 * @module
 */
import { z } from "zod";

/** All channels; each is owned by one domain. */
export const CHANNELS = [
  "agreement",
  "control",
  "bundles",
  "members",
  "registry",
  "requests",
  "samples",
  "weights",
  "fleet",
  "batches",
] as const;

/** Name of a channel. */
export type Channel = typeof CHANNELS[number];

const channel = z.enum(CHANNELS);
const correlation = z.number().int().nonnegative();

const envelopeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("greeting"),
    cluster: z.string().max(128),
    vm: z.string().max(128),
    /** Whether the sender reads deflated frames; absent in greetings of earlier builds. */
    inflates: z.boolean().optional(),
  }),
  z.object({ kind: z.literal("notice"), channel, body: z.unknown() }),
  z.object({
    kind: z.literal("request"),
    channel,
    correlation,
    body: z.unknown(),
  }),
  z.object({ kind: z.literal("reply"), correlation, body: z.unknown() }),
  z.object({ kind: z.literal("ping") }),
  z.object({ kind: z.literal("pong") }),
  z.object({ kind: z.literal("refusal"), correlation, failure: z.unknown() }),
]);

/** One message between VMs. */
export type Envelope = z.infer<typeof envelopeSchema>;

/** Validates the body of a decoded frame; returns undefined if it is not an envelope. */
export function parseEnvelope(body: unknown): Envelope | undefined {
  const parsed = envelopeSchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}
