/**
 * The schema of bundles and the rules that relate their fields to each other.
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

const nameSchema = z.string().max(MAXIMUM_NAME_CHARACTERS).regex(
  /^[a-z0-9][a-z0-9._-]*$/,
  "must be lower-case letters, digits, dots, underscores and hyphens",
);
const durationMsSchema = z.number().int().min(1).max(MAXIMUM_DURATION_MS);
const fractionSchema = z.number().min(0).max(1);
const weightSchema = z.number().positive().max(1_000);
const countSchema = z.number().int().min(1).max(1_000_000_000);

const addressSchema = z.strictObject({
  host: z.string().refine((host) => isIP(host) !== 0, "must be an IP number"),
  port: z.number().int().min(1).max(65_535),
});

function listSchema<Entry extends z.ZodType>(entry: Entry): z.ZodArray<Entry> {
  return z.array(entry).max(MAXIMUM_LIST_ENTRIES);
}

const bundleSchema = z.strictObject({
  schema: z.literal(1),
  cluster: nameSchema,
  version: z.number().int().min(1).max(Number.MAX_SAFE_INTEGER),
  predecessor: z.string().regex(/^[0-9a-f]{64}$/).nullable(),
  zones: listSchema(z.strictObject({ name: nameSchema, region: nameSchema }))
    .min(1),
  vms: listSchema(z.strictObject({
    name: nameSchema,
    zone: nameSchema,
    role: z.enum(["entry", "control"]),
    peer: addressSchema,
    http: addressSchema,
  })).min(1),
  tenants: listSchema(z.strictObject({
    name: nameSchema,
    weight: weightSchema,
    maximumOutstanding: countSchema,
  })),
  classes: listSchema(z.strictObject({
    name: nameSchema,
    rank: z.number().int().min(0).max(100),
    floor: fractionSchema,
    maximumQueued: countSchema,
    defaultDeadlineMs: durationMsSchema,
  })),
  models: listSchema(z.strictObject({
    name: nameSchema,
    servingFloor: fractionSchema,
    loadsPerSecond: z.number().positive().max(100_000),
  })),
  services: listSchema(z.strictObject({
    name: nameSchema,
    idempotentMethods: z.array(
      z.enum(["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"]),
    ),
  })),
  trainers: listSchema(z.strictObject({
    name: nameSchema,
    tenant: nameSchema,
    class: nameSchema,
    model: nameSchema,
    scorer: nameSchema,
    weight: weightSchema,
    maximumStaleness: z.number().int().min(0).max(1_000),
  })),
  operators: listSchema(z.strictObject({
    name: nameSchema,
    publicKey: z.string().length(PUBLIC_KEY_CHARACTERS),
  })).min(1),
  limits: z.strictObject({
    bodyBytes: countSchema,
    answerBytes: countSchema,
    claimRetentionMs: durationMsSchema,
    claimsStored: countSchema,
    upstreamLeaseMs: z.number().int().min(1_000).max(60_000),
  }),
});

/** One error in a bundle. */
export interface BundleError {
  /** Path of the field, such as `vms[2].zone`. */
  readonly field: string;
  /** Describes the error and what is expected. */
  readonly message: string;
}

/**
 * Validates a value against the schema and the rules between fields. The lists of the result are sorted by name,
 * so that bundles of equal content have equal bytes.
 *
 * @example
 * ```ts
 * const bundle = parseBundle(JSON.parse(text));
 * if (!bundle.ok) console.error(bundle.val);
 * ```
 */
export function parseBundle(
  value: unknown,
): Result<Bundle, readonly BundleError[]> {
  const parsed = bundleSchema.safeParse(value);
  if (!parsed.success) {
    const errors = parsed.error.issues.map((issue) => ({
      field: fieldPath(issue.path),
      message: issue.message,
    }));
    return Err(errors);
  }
  const bundle = sortLists(parsed.data);
  const errors = [...crossReferenceErrors(bundle)];
  if (errors.length > 0) return Err(errors);
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

/** Returns the same bundle with every list sorted by name. */
export function sortLists(bundle: Bundle): Bundle {
  return {
    ...bundle,
    zones: sortByName(bundle.zones),
    vms: sortByName(bundle.vms),
    tenants: sortByName(bundle.tenants),
    classes: sortByName(bundle.classes),
    models: sortByName(bundle.models),
    services: sortByName(bundle.services),
    trainers: sortByName(bundle.trainers),
    operators: sortByName(bundle.operators),
  };
}

/** Returns a list of named entries sorted by name. */
export function sortByName<Entry extends { readonly name: string }>(
  entries: readonly Entry[],
): readonly Entry[] {
  return [...entries].sort((a, b) =>
    a.name < b.name ? -1 : a.name > b.name ? 1 : 0
  );
}

function* crossReferenceErrors(bundle: Bundle): Generator<BundleError> {
  yield* duplicateNameErrors(bundle);
  yield* duplicateAddressErrors(bundle);
  yield* unresolvedReferenceErrors(bundle);
  if ((bundle.version === 1) !== (bundle.predecessor === null)) {
    yield {
      field: "predecessor",
      message:
        "must be null for version 1, and the digest of the previous bundle for every other version",
    };
  }
  const floors = bundle.classes.reduce((sum, each) => sum + each.floor, 0);
  if (floors > 1) {
    yield { field: "classes", message: "the sum of the floors is more than 1" };
  }
}

/** Names of the bundle fields that are lists of named entries. */
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

function* duplicateNameErrors(bundle: Bundle): Generator<BundleError> {
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

function* duplicateAddressErrors(bundle: Bundle): Generator<BundleError> {
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

function* unresolvedReferenceErrors(bundle: Bundle): Generator<BundleError> {
  const zones = nameSet(bundle.zones);
  for (const vm of bundle.vms) {
    if (!zones.has(vm.zone)) {
      yield unresolvedReference(`vms.${vm.name}.zone`, vm.zone);
    }
  }
  for (const trainer of bundle.trainers) {
    const field = `trainers.${trainer.name}`;
    if (!nameSet(bundle.tenants).has(trainer.tenant)) {
      yield unresolvedReference(`${field}.tenant`, trainer.tenant);
    }
    if (!nameSet(bundle.classes).has(trainer.class)) {
      yield unresolvedReference(`${field}.class`, trainer.class);
    }
    if (!nameSet(bundle.models).has(trainer.model)) {
      yield unresolvedReference(`${field}.model`, trainer.model);
    }
    if (!nameSet(bundle.services).has(trainer.scorer)) {
      yield unresolvedReference(`${field}.scorer`, trainer.scorer);
    }
  }
}

function nameSet(
  entries: readonly { readonly name: string }[],
): ReadonlySet<string> {
  return new Set(entries.map((entry) => entry.name));
}

function unresolvedReference(field: string, value: string): BundleError {
  return { field, message: `names ${value}, which the bundle does not list` };
}
