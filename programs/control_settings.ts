/**
 * Settings of `cicadafield-control`.
 *
 * @module
 */
import type { OperatorEntry } from "#core";
import { z } from "zod";
import { portSetting } from "./address_setting.ts";
import { SHARED_SETTINGS } from "./shared_settings.ts";

const KEY_PATTERN = /^([a-z0-9._-]+)=([A-Za-z0-9+/]{43}=)$/;

const operatorKeys: z.ZodType<readonly OperatorEntry[]> = z.string().transform(
  (text, context) => {
    const operators: OperatorEntry[] = [];
    for (const part of text.split(",").filter((each) => each !== "")) {
      const [, name, publicKey] = KEY_PATTERN.exec(part) ?? [];
      if (name === undefined || publicKey === undefined) {
        context.addIssue({
          code: "custom",
          message:
            `${part} must be NAME=KEY, as printed by \`cicadafield keys list\``,
        });
        return z.NEVER;
      }
      operators.push({ name, publicKey });
    }
    return operators;
  },
);

/** Settings of a control VM. */
export const CONTROL_SETTINGS = {
  ...SHARED_SETTINGS,
  "http-port": {
    ...SHARED_SETTINGS["http-port"],
    schema: portSetting,
    fallback: "8100",
    example: "8100",
  },
  "peer-port": {
    ...SHARED_SETTINGS["peer-port"],
    schema: portSetting,
    fallback: "7100",
    example: "7100",
  },
  "data-folder": {
    help:
      "Folder for the durable state of this replica; only one process may use it at a time.",
    schema: z.string().min(1),
    example: "/var/lib/cicadafield",
  },
  "first-start": {
    help:
      "With `yes`, a replica with an empty data folder forms a new group with all VMs in `control-vms`; with `no`, it joins the existing group as a learner.",
    schema: z.enum(["yes", "no"]),
    fallback: "no",
    example: "no",
  },
  "operator-keys": {
    help:
      "Operators who may sign the first bundle, as comma-separated NAME=KEY pairs.",
    schema: operatorKeys,
    fallback: "",
    example: "awa=UNhY4JhezH9gQYqvDMWrWH9CwlcKiECVqejMrND2VFw=",
  },
} as const;
