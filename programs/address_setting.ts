/**
 * Schemas for settings that contain addresses or names of VMs.
 *
 * @module
 */
import { isIP } from "node:net";
import type { VmRole } from "#core";
import type { DirectoryEntry } from "#membership";
import { z } from "zod";

const VM_PATTERN = /^([a-z0-9._-]+)@([a-z0-9._-]+)=([0-9a-fA-F.:]+):(\d+)$/;
const MAXIMUM_PORT = 65_535;

/** Schema for a TCP port. */
export const portSetting = z.coerce.number().int().min(1).max(MAXIMUM_PORT);

/** Schema for an IP address. */
export const hostSetting = z.string().refine(
  (host) => isIP(host) !== 0,
  "must be an IP address such as 10.0.0.7",
);

/** Schema for the name of a VM, availability zone or cluster. */
export const nameSetting = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,63}$/,
  "must be at most 64 lower-case letters, digits, dots, underscores and hyphens, starting with a letter or digit",
);

/**
 * Returns the schema for a comma-separated list of VMs of one role, each `NAME@ZONE=HOST:PORT`.
 *
 * @example
 * ```ts
 * vmListSetting("control").parse("control-1@a=10.0.0.7:7100");
 * ```
 */
export function vmListSetting(
  role: VmRole,
): z.ZodType<readonly DirectoryEntry[]> {
  return z.string().transform((text, context) => {
    const entries: DirectoryEntry[] = [];
    for (const part of text.split(",").filter((each) => each !== "")) {
      const entry = parseVm(part, role);
      if (entry === undefined) {
        context.addIssue({
          code: "custom",
          message:
            `${part} must be NAME@ZONE=HOST:PORT, where HOST is an IP address`,
        });
        return z.NEVER;
      }
      entries.push(entry);
    }
    return entries;
  });
}

function parseVm(text: string, role: VmRole): DirectoryEntry | undefined {
  const match = VM_PATTERN.exec(text);
  if (match === null) return undefined;
  const [, name = "", zone = "", host = "", portText = ""] = match;
  const port = Number(portText);
  if (isIP(host) === 0 || port < 1 || port > MAXIMUM_PORT) return undefined;
  return { name, zone, role, peer: { host, port } };
}
