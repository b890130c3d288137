/**
 * Restricts the signers of the first bundle: while no bundle is active, only operators in the settings may sign one.
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

/** Options of `firstBundleGate`. */
export interface FirstBundleGateOptions {
  readonly activeBundle: AcceptedBundle | null;
  /** Operators in the settings of this VM. */
  readonly operators: readonly OperatorEntry[];
}

/**
 * Rejects a first bundle that no operator in the settings signed. Errors in its content pass, because the bundles
 * state machine reports them.
 */
export function firstBundleGate(
  request: MachineCommand,
  options: FirstBundleGateOptions,
): Failure | undefined {
  if (request.machine !== "bundles" || options.activeBundle !== null) {
    return undefined;
  }
  const parsed = acceptSchema.safeParse(request.command);
  if (!parsed.success) {
    return fail(
      "malformed_request",
      "the command is not an acceptance of a signed bundle",
    );
  }
  const { signer, signature } = parsed.data.signed;
  const bundle = parseBundle(parsed.data.signed.bundle);
  if (!bundle.ok) return undefined;
  const signed = { bundle: bundle.val, signer, signature };
  const verified = verifySignedBundle(signed, options.operators);
  return verified.ok ? undefined : verified.val;
}
