/**
 * The demand of tenants as a control VM reports it to entry VMs: the largest ones by name, the others in total.
 *
 * @module
 */
import { z } from "zod";
import { type TenantCalls, type TenantRate } from "./tenant_rates.ts";

/** Tenants by name: those above their share are among them, and the message stays below half a kilobyte. */
const MAXIMUM_NAMED_TENANTS = 16;
const MAXIMUM_NAME_CHARACTERS = 256;
/** Messages hold whole numbers, which are shorter than fractions. */
const UNITS_PER_CALL = 100;

const rate = z.number().int().nonnegative().transform((units) =>
  units / UNITS_PER_CALL
);

const demandSchema = z.object({
  /** Name, and hundredths of calls a second that ran and that ran nowhere; the largest tenants first. */
  named: z.array(z.tuple([z.string().max(MAXIMUM_NAME_CHARACTERS), rate, rate]))
    .max(MAXIMUM_NAMED_TENANTS),
  /** Number of the other tenants, and their calls in total. */
  others: z.tuple([z.number().int().nonnegative(), rate, rate]),
}).transform(({ named, others: [tenants, ran, unserved] }) => ({
  named: named.map(([tenant, ran, unserved]) => ({ tenant, ran, unserved })),
  others: { tenants, ran, unserved },
}));

/** Calls of tenants for each second over all entry VMs. */
export interface TenantDemand {
  /** The largest tenants. */
  readonly named: readonly TenantRate[];
  /** The others in total. */
  readonly others: TenantCalls & { readonly tenants: number };
}

/** The demand as messages hold it. */
export type TenantDemandMessage = Readonly<z.input<typeof demandSchema>>;

/** Returns the demand in a message; undefined if it is absent or malformed. */
export function parseTenantDemand(body: unknown): TenantDemand | undefined {
  const parsed = demandSchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}

/** Returns the message with the rates of tenants, the largest of which are first. */
export function encodeTenantDemand(
  rates: readonly TenantRate[],
): TenantDemandMessage {
  const others = rates.slice(MAXIMUM_NAMED_TENANTS);
  const total = sumOf(others);
  return {
    named: rates.slice(0, MAXIMUM_NAMED_TENANTS).map((
      { tenant, ran, unserved },
    ) => [
      tenant,
      toUnits(ran),
      toUnits(unserved),
    ]),
    others: [others.length, toUnits(total.ran), toUnits(total.unserved)],
  };
}

/** A number of tenants with the same demand. */
export interface DemandLevel {
  readonly tenants: number;
  readonly perS: number;
}

/**
 * Returns the most calls a second that a tenant may send so that all together send no more than the capacity (max-min
 * fairness); Infinity if the capacity suffices.
 *
 * @example
 * ```ts
 * fairLimit([{ tenants: 1, perS: 90 }, { tenants: 2, perS: 10 }], 50); // 30
 * ```
 */
export function fairLimit(
  demands: readonly DemandLevel[],
  capacityPerS: number,
): number {
  let left = capacityPerS;
  let tenants = demands.reduce((sum, each) => sum + each.tenants, 0);
  for (const level of [...demands].sort((a, b) => a.perS - b.perS)) {
    if (level.perS * tenants > left) return Math.max(0, left) / tenants;
    left -= level.perS * level.tenants;
    tenants -= level.tenants;
  }
  return Infinity;
}

/**
 * Returns the calls of all of these tenants.
 *
 * @example
 * ```ts
 * sumOf([{ ran: 3, unserved: 2 }, { ran: 1, unserved: 0 }]); // { ran: 4, unserved: 2 }
 * ```
 */
export function sumOf(rates: readonly TenantCalls[]): TenantCalls {
  const total = { ran: 0, unserved: 0 };
  for (const { ran, unserved } of rates) {
    total.ran += ran;
    total.unserved += unserved;
  }
  return total;
}

function toUnits(perS: number): number {
  return Math.round(perS * UNITS_PER_CALL);
}
