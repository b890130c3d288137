/**
 * Who may sign the first bundle: while none is in force, only operators named in the settings.
 *
 * @module
 */
import {
  type AcceptedBundle,
  fail,
  type Failure,
  type MachineCommand,
  type OperatorEntry,
} from "#core";
import { parseBundle, verifySignedBundle } from "#bundles";
import { z } from "zod";

const acceptSchema = z.object({
  kind: z.literal("accept"),
  signed: z.object({
    bundle: z.looseObject({}),
    signer: z.string(),
    signature: z.string(),
  }),
});

/** What the gate judges by. */
export interface FirstBundleGateOptions {
  readonly activeBundle: AcceptedBundle | null;
  readonly operators: readonly OperatorEntry[];
}

/** Refuses a first bundle that none of the operators of the settings signed; faults of its content are the machine's to name. */
export function firstBundleGate(
  request: MachineCommand,
  options: FirstBundleGateOptions,
): Failure | undefined {
  if (request.machine !== "bundles" || options.activeBundle !== null) {
    return undefined;
  }
  const parsed = acceptSchema.safeParse(request.command);
  if (!parsed.success) {
    return fail("malformed_request", "not an acceptance of a bundle");
  }
  const { signer, signature } = parsed.data.signed;
  const bundle = parseBundle(parsed.data.signed.bundle);
  if (!bundle.ok) return undefined;
  const signed = { bundle: bundle.val, signer, signature };
  const verified = verifySignedBundle(signed, options.operators);
  return verified.ok ? undefined : verified.val;
}
