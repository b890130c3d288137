/**
 * The state machine of the replicated log that accepts bundles, one version after the other.
 *
 * @module
 */
import {
  type AcceptedBundle,
  type Bundle,
  type Committed,
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
  type SignedBundle,
  StateMachine,
} from "#core";
import { match, P } from "ts-pattern";
import { type BundleDelta, diffBundles } from "./bundle_delta.ts";
import { retainNewest } from "./bundle_history.ts";
import { parseBundle } from "./bundle_schema.ts";
import { bundleDigest, verifySignedBundle } from "./bundle_signature.ts";

const MAXIMUM_HISTORY_ENTRIES = 4_096;

/** Submits a bundle, which is accepted if it is the successor of the active one. */
export interface AcceptBundle {
  readonly kind: "accept";
  readonly signed: SignedBundle;
}

/** The result of an accepted submission; a submission that is sent again returns the first result again. */
export interface BundleReceipt {
  readonly version: number;
  readonly digest: string;
  readonly signer: string;
  readonly index: number;
  readonly acceptedAtMs: number;
}

/** Queries of the machine. */
export type BundlesQuery =
  | { readonly kind: "current" }
  | { readonly kind: "since"; readonly digest: string | null };

/** The update that brings a VM to the newest bundle. */
export type BundleUpdate =
  | { readonly kind: "none" }
  | { readonly kind: "whole"; readonly accepted: AcceptedBundle }
  | { readonly kind: "delta"; readonly delta: BundleDelta };

/** Results of the queries. */
export type BundlesQueryResult = AcceptedBundle | BundleUpdate | null;

interface BundlesState {
  readonly history: readonly BundleReceipt[];
  /** The newest bundles, oldest first; the last is active. */
  readonly kept: readonly AcceptedBundle[];
}

/** Accepts bundles by compare-and-set on the digest of the predecessor. */
export class BundlesMachine extends StateMachine<
  AcceptBundle,
  BundleReceipt,
  BundlesQuery,
  BundlesQueryResult
> {
  override readonly name = "bundles";
  #state: BundlesState = { history: [], kept: [] };

  /** Returns the active bundle as of the last log entry applied by this replica. */
  current(): AcceptedBundle | null {
    return this.#state.kept.at(-1) ?? null;
  }

  /** Returns the update for a VM that has the bundle with this digest. */
  updateSince(digest: string | null): BundleUpdate {
    return updateSince(this.#state.kept, digest);
  }

  override apply(
    entry: Committed<AcceptBundle>,
  ): Result<BundleReceipt, Failure> {
    const signed = parseSignedBundle(entry.command);
    if (!signed.ok) return signed;
    const digest = bundleDigest(signed.val.bundle);
    const earlier = this.#findReceipt(signed.val.bundle.version);
    if (earlier !== undefined) return resolveResubmission(earlier, digest);
    const allowed = checkSuccessor(this.current(), signed.val);
    if (!allowed.ok) return allowed;
    return Ok(this.#accept(entry, { signed: signed.val, digest }));
  }

  override query(query: BundlesQuery): Result<BundlesQueryResult, Failure> {
    return match(query)
      .with({ kind: "current" }, () => Ok(this.current()))
      .with(
        { kind: "since", digest: P.union(P.string, null) },
        ({ digest }) => Ok(this.updateSince(digest)),
      )
      .otherwise(() =>
        Err(fail("malformed_request", "not a query about bundles"))
      );
  }

  override snapshot(): unknown {
    return this.#state;
  }

  override restore(state: unknown): void {
    this.#state = state as BundlesState;
  }

  #findReceipt(version: number): BundleReceipt | undefined {
    return this.#state.history.find((each) => each.version === version);
  }

  #accept(
    entry: Committed<AcceptBundle>,
    content: { readonly signed: SignedBundle; readonly digest: string },
  ): BundleReceipt {
    const accepted: AcceptedBundle = {
      signed: content.signed,
      digest: content.digest,
      index: entry.index,
      acceptedAtMs: entry.atMs,
    };
    const receipt: BundleReceipt = {
      version: content.signed.bundle.version,
      digest: content.digest,
      signer: content.signed.signer,
      index: entry.index,
      acceptedAtMs: entry.atMs,
    };
    this.#state = {
      history: [...this.#state.history, receipt].slice(
        -MAXIMUM_HISTORY_ENTRIES,
      ),
      kept: retainNewest(this.#state.kept, accepted),
    };
    return receipt;
  }
}

/** Returns the delta from the bundle with this digest to the newest of `kept`, or else the complete newest bundle. */
export function updateSince(
  kept: readonly AcceptedBundle[],
  digest: string | null,
): BundleUpdate {
  const newest = kept.at(-1);
  if (newest === undefined || newest.digest === digest) return { kind: "none" };
  const base = kept.find((each) => each.digest === digest);
  if (base === undefined) return { kind: "whole", accepted: newest };
  return { kind: "delta", delta: diffBundles(base, newest) };
}

function parseSignedBundle(
  command: AcceptBundle,
): Result<SignedBundle, Failure> {
  if (command?.kind !== "accept" || typeof command.signed !== "object") {
    return Err(fail("malformed_request", "not a submission of a bundle"));
  }
  const { signer, signature, bundle } = command.signed ?? {};
  if (typeof signer !== "string" || typeof signature !== "string") {
    return Err(fail("bad_signature", "the bundle is not signed"));
  }
  const parsed = parseBundle(bundle);
  if (!parsed.ok) {
    const first = parsed.val[0];
    const text = parsed.val.map((each) => `${each.field}: ${each.message}`);
    return Err(
      fail(
        "invalid_bundle",
        text.join("; "),
        first === undefined ? {} : { field: first.field },
      ),
    );
  }
  return Ok({ signer, signature, bundle: parsed.val });
}

function resolveResubmission(
  earlier: BundleReceipt,
  digest: string,
): Result<BundleReceipt, Failure> {
  if (earlier.digest === digest) return Ok(earlier);
  return Err(
    fail(
      "version_conflict",
      `version ${earlier.version} was accepted with different content, signed by ${earlier.signer}`,
      { field: "version", detail: earlier.digest },
    ),
  );
}

function checkSuccessor(
  current: AcceptedBundle | null,
  signed: SignedBundle,
): Result<true, Failure> {
  const bundle = signed.bundle;
  if (current === null) return checkFirstBundle(signed);
  const active = current.signed.bundle;
  if (bundle.cluster !== active.cluster) {
    return Err(
      fail("invalid_bundle", `the cluster is ${active.cluster}`, {
        field: "cluster",
      }),
    );
  }
  const follows = bundle.version === active.version + 1 &&
    bundle.predecessor === current.digest;
  if (!follows) return Err(predecessorMismatch(current, bundle));
  return verifySignedBundle(signed, active.operators);
}

function checkFirstBundle(signed: SignedBundle): Result<true, Failure> {
  const bundle = signed.bundle;
  if (bundle.version !== 1) {
    return Err(
      fail(
        "missing_predecessor",
        "no bundle is active: start with version 1",
        {
          field: "version",
        },
      ),
    );
  }
  return verifySignedBundle(signed, bundle.operators);
}

function predecessorMismatch(current: AcceptedBundle, bundle: Bundle): Failure {
  const activeVersion = current.signed.bundle.version;
  return fail(
    "missing_predecessor",
    `version ${activeVersion} with digest ${current.digest} is active; ` +
      `version ${bundle.version} names predecessor ${bundle.predecessor}`,
    { field: "predecessor", detail: current.digest },
  );
}
