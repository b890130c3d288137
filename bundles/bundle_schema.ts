/**
 * The schema of bundles and the rules among their parts.
 *
 * @module
 */
import { isIP } from "node:net";
import { type Bundle, Err, Ok, type Result } from "#core";
import { z } from "zod";

const MAXIMUM_NAME_CHARACTERS = 64;
const MAXIMUM_LIST_ENTRIES = 4_096;
const MAXIMUM_DURATION_MS = 86_400_000;
const PUBLIC_KEY_CHARACTERS = 44;

const name = z.string().max(MAXIMUM_NAME_CHARACTERS).regex(
  /^[a-z0-9][a-z0-9._-]*$/,
  "must be lower-case letters, digits, dots, underscores and hyphens",
);
const durationMs = z.number().int().min(1).max(MAXIMUM_DURATION_MS);
const fraction = z.number().min(0).max(1);
const weight = z.number().positive().max(1_000);
const count = z.number().int().min(1).max(1_000_000_000);

const address = z.strictObject({
  host: z.string().refine((host) => isIP(host) !== 0, "must be an IP number"),
  port: z.number().int().min(1).max(65_535),
});

function list<Entry extends z.ZodType>(entry: Entry): z.ZodArray<Entry> {
  return z.array(entry).max(MAXIMUM_LIST_ENTRIES);
}

const bundleSchema = z.strictObject({
  schema: z.literal(1),
  cluster: name,
  version: z.number().int().min(1).max(Number.MAX_SAFE_INTEGER),
  predecessor: z.string().regex(/^[0-9a-f]{64}$/).nullable(),
  zones: list(z.strictObject({ name, region: name })).min(1),
  vms: list(z.strictObject({
    name,
    zone: name,
    role: z.enum(["entry", "control"]),
    peer: address,
    http: address,
  })).min(1),
  tenants: list(z.strictObject({
    name,
    weight,
    maximumOutstanding: count,
  })),
  classes: list(z.strictObject({
    name,
    rank: z.number().int().min(0).max(100),
    floor: fraction,
    maximumQueued: count,
    defaultDeadlineMs: durationMs,
  })),
  models: list(z.strictObject({
    name,
    servingFloor: fraction,
    loadsPerSecond: z.number().positive().max(100_000),
  })),
  services: list(z.strictObject({
    name,
    idempotentMethods: z.array(
      z.enum(["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"]),
    ),
  })),
  trainers: list(z.strictObject({
    name,
    tenant: name,
    class: name,
    model: name,
    scorer: name,
    weight,
    maximumStaleness: z.number().int().min(0).max(1_000),
  })),
  operators: list(z.strictObject({
    name,
    publicKey: z.string().length(PUBLIC_KEY_CHARACTERS),
  })).min(1),
  limits: z.strictObject({
    bodyBytes: count,
    answerBytes: count,
    claimRetentionMs: durationMs,
    claimsStored: count,
    upstreamLeaseMs: z.number().int().min(1_000).max(60_000),
  }),
});

/** One fault of a bundle. */
export interface BundleFault {
  /** Path of the field, such as `vms[2].zone`. */
  readonly field: string;
  /** What is wrong and what would be right. */
  readonly message: string;
}

/**
 * Checks a value against the schema and the rules among the parts. Lists come out sorted by name, so
 * that equal content has equal bytes.
 *
 * @example
 * ```ts
 * const bundle = parseBundle(JSON.parse(text));
 * if (!bundle.ok) console.error(bundle.val);
 * ```
 */
export function parseBundle(
  value: unknown,
): Result<Bundle, readonly BundleFault[]> {
  const parsed = bundleSchema.safeParse(value);
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) => ({
      field: fieldPath(issue.path),
      message: issue.message,
    }));
    return Err(faults);
  }
  const bundle = sortLists(parsed.data);
  const faults = [...crossFaults(bundle)];
  if (faults.length > 0) return Err(faults);
  return Ok(bundle);
}

function fieldPath(path: readonly PropertyKey[]): string {
  let text = "";
  for (const part of path) {
    if (typeof part === "number") text += `[${part}]`;
    else text += (text === "" ? "" : ".") + String(part);
  }
  return text === "" ? "(bundle)" : text;
}

/** The same content with every list sorted by name. */
export function sortLists(bundle: Bundle): Bundle {
  return {
    ...bundle,
    zones: byName(bundle.zones),
    vms: byName(bundle.vms),
    tenants: byName(bundle.tenants),
    classes: byName(bundle.classes),
    models: byName(bundle.models),
    services: byName(bundle.services),
    trainers: byName(bundle.trainers),
    operators: byName(bundle.operators),
  };
}

/** Sorts a list of named entries by name. */
export function byName<Entry extends { readonly name: string }>(
  entries: readonly Entry[],
): readonly Entry[] {
  return [...entries].sort((a, b) =>
    a.name < b.name ? -1 : a.name > b.name ? 1 : 0
  );
}

function* crossFaults(bundle: Bundle): Generator<BundleFault> {
  yield* duplicateFaults(bundle);
  yield* addressFaults(bundle);
  yield* referenceFaults(bundle);
  if ((bundle.version === 1) !== (bundle.predecessor === null)) {
    yield {
      field: "predecessor",
      message:
        "must be null for version 1 and the digest of the bundle before for every other",
    };
  }
  const floors = bundle.classes.reduce((sum, each) => sum + each.floor, 0);
  if (floors > 1) {
    yield { field: "classes", message: "the floors add up to more than 1" };
  }
}

/** The lists of a bundle whose entries have names. */
export const NAMED_LISTS = [
  "zones",
  "vms",
  "tenants",
  "classes",
  "models",
  "services",
  "trainers",
  "operators",
] as const;

function* duplicateFaults(bundle: Bundle): Generator<BundleFault> {
  for (const list of NAMED_LISTS) {
    const seen = new Set<string>();
    for (const entry of bundle[list]) {
      if (seen.has(entry.name)) {
        yield { field: list, message: `the name ${entry.name} is used twice` };
      }
      seen.add(entry.name);
    }
  }
}

function* addressFaults(bundle: Bundle): Generator<BundleFault> {
  const seen = new Map<string, string>();
  for (const vm of bundle.vms) {
    for (const each of [vm.peer, vm.http]) {
      const key = `${each.host} ${each.port}`;
      const other = seen.get(key);
      if (other !== undefined) {
        yield {
          field: "vms",
          message: `${vm.name} has the address ${key} of ${other}`,
        };
      }
      seen.set(key, vm.name);
    }
  }
}

function* referenceFaults(bundle: Bundle): Generator<BundleFault> {
  const zones = names(bundle.zones);
  for (const vm of bundle.vms) {
    if (!zones.has(vm.zone)) yield missing(`vms.${vm.name}.zone`, vm.zone);
  }
  for (const trainer of bundle.trainers) {
    const field = `trainers.${trainer.name}`;
    if (!names(bundle.tenants).has(trainer.tenant)) {
      yield missing(`${field}.tenant`, trainer.tenant);
    }
    if (!names(bundle.classes).has(trainer.class)) {
      yield missing(`${field}.class`, trainer.class);
    }
    if (!names(bundle.models).has(trainer.model)) {
      yield missing(`${field}.model`, trainer.model);
    }
    if (!names(bundle.services).has(trainer.scorer)) {
      yield missing(`${field}.scorer`, trainer.scorer);
    }
  }
}

function names(
  entries: readonly { readonly name: string }[],
): ReadonlySet<string> {
  return new Set(entries.map((entry) => entry.name));
}

function missing(field: string, value: string): BundleFault {
  return { field, message: `names ${value}, which the bundle does not list` };
}
