/**
 * Messages on the `control` channel: commands and queries for the replicated log, and status requests.
 *
 * @module
 */
import { MACHINE_NAMES, type MachineName } from "#core";
import { z } from "zod";

const machine = z.enum(MACHINE_NAMES as [MachineName, ...MachineName[]]);

/** Schema of the requests on the control channel. */
export const controlRequestSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("propose"), machine, command: z.unknown() }),
  z.object({ kind: z.literal("query"), machine, question: z.unknown() }),
  z.object({ kind: z.literal("status") }),
]);

/** A request on the control channel. */
export type ControlRequest = z.infer<typeof controlRequestSchema>;

const statusSchema = z.object({
  vm: z.string(),
  zone: z.string(),
  role: z.enum(["entry", "control"]),
  ready: z.boolean(),
  bundleVersion: z.number().nullable(),
  bundleDigest: z.string().nullable(),
  leader: z.string().nullable(),
});

/** Status that a VM reports about itself. */
export type VmStatus = Readonly<z.infer<typeof statusSchema>>;

/** Parses a status received from another VM; returns undefined if it is malformed. */
export function parseVmStatus(value: unknown): VmStatus | undefined {
  const parsed = statusSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
