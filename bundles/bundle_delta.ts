/**
 * Deltas between bundles, which update a VM from one version of the bundle to a later one.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import {
  type AcceptedBundle,
  type Bundle,
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
} from "#core";
import { NAMED_LISTS, sortByName } from "./bundle_schema.ts";
import { bundleDigest } from "./bundle_signature.ts";

type NamedList = typeof NAMED_LISTS[number];

/** The changes of one list of named entries. */
export interface ListChange {
  readonly list: NamedList;
  /** Names of the entries that were removed. */
  readonly removed: readonly string[];
  /** Entries that were added or changed. */
  readonly put: readonly { readonly name: string }[];
}

/** The difference between an accepted bundle and a later one. */
export interface BundleDelta {
  readonly fromDigest: string;
  readonly toDigest: string;
  readonly version: number;
  readonly predecessor: string | null;
  /** The new limits, or null if they are unchanged. */
  readonly limits: Bundle["limits"] | null;
  readonly lists: readonly ListChange[];
  readonly signer: string;
  readonly signature: string;
  readonly index: number;
  readonly acceptedAtMs: number;
}

/**
 * Computes the delta that updates `from` to `to`.
 *
 * @example
 * ```ts
 * const delta = diffBundles(base, newest);
 * const updated = applyDelta(base, delta).unwrap();
 * ```
 */
export function diffBundles(
  from: AcceptedBundle,
  to: AcceptedBundle,
): BundleDelta {
  const before = from.signed.bundle;
  const after = to.signed.bundle;
  const lists: ListChange[] = [];
  for (const list of NAMED_LISTS) {
    const change = diffList(before, { after, list });
    if (change !== undefined) lists.push(change);
  }
  const sameLimits = isDeepStrictEqual(before.limits, after.limits);
  return {
    fromDigest: from.digest,
    toDigest: to.digest,
    version: after.version,
    predecessor: after.predecessor,
    limits: sameLimits ? null : after.limits,
    lists,
    signer: to.signed.signer,
    signature: to.signed.signature,
    index: to.index,
    acceptedAtMs: to.acceptedAtMs,
  };
}

function diffList(
  before: Bundle,
  target: { readonly after: Bundle; readonly list: NamedList },
): ListChange | undefined {
  const previous = new Map<string, unknown>(
    before[target.list].map((entry) => [entry.name, entry]),
  );
  const put: { readonly name: string }[] = [];
  for (const entry of target.after[target.list]) {
    if (!isDeepStrictEqual(previous.get(entry.name), entry)) put.push(entry);
    previous.delete(entry.name);
  }
  const removed = [...previous.keys()];
  if (removed.length === 0 && put.length === 0) return undefined;
  return { list: target.list, removed, put };
}

/** Applies a delta and verifies that the result has the digest that the delta names. */
export function applyDelta(
  base: AcceptedBundle,
  delta: BundleDelta,
): Result<AcceptedBundle, Failure> {
  if (base.digest !== delta.fromDigest) {
    return Err(
      fail("version_conflict", "the delta applies to a different bundle"),
    );
  }
  const bundle: Record<string, unknown> = {
    ...base.signed.bundle,
    version: delta.version,
    predecessor: delta.predecessor,
    limits: delta.limits ?? base.signed.bundle.limits,
  };
  for (const change of delta.lists) {
    bundle[change.list] = applyChange(base.signed.bundle[change.list], change);
  }
  const result = bundle as unknown as Bundle;
  if (bundleDigest(result) !== delta.toDigest) {
    return Err(
      fail(
        "invalid_bundle",
        "the result of the delta does not have the digest that it names",
      ),
    );
  }
  const signed = {
    bundle: result,
    signer: delta.signer,
    signature: delta.signature,
  };
  return Ok({
    signed,
    digest: delta.toDigest,
    index: delta.index,
    acceptedAtMs: delta.acceptedAtMs,
  });
}

function applyChange(
  entries: readonly { readonly name: string }[],
  change: ListChange,
): readonly { readonly name: string }[] {
  const byKey = new Map(entries.map((entry) => [entry.name, entry]));
  for (const name of change.removed) byKey.delete(name);
  for (const entry of change.put) byKey.set(entry.name, entry);
  return sortByName([...byKey.values()]);
}
