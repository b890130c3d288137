/**
 * The state machine of orders, which stores the desired version of each engine and model. The log index of
 * the command that set a desired version is the fence of the order; an engine that enforces fences rejects
 * older ones.
 *
 * @module
 */
import {
  type Committed,
  type EngineOrder,
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
  StateMachine,
} from "#core";
import { match } from "ts-pattern";
import { z } from "zod";

/** Maximum number of desired versions or engines in one command. */
export const MAXIMUM_COMMAND_ITEMS = 4_096;
/** Maximum number of stored orders. */
const MAXIMUM_STORED_ORDERS = 65_536;

const nameSchema = z.string().min(1).max(128);

const desiredVersionSchema = z.object({
  upstream: nameSchema,
  model: nameSchema,
  version: z.number().int().nonnegative(),
});

/** Schema of the commands to the orders machine. */
export const ordersCommandSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("wish"),
    wishes: z.array(desiredVersionSchema).min(1).max(MAXIMUM_COMMAND_ITEMS),
  }),
  z.object({
    kind: z.literal("forget"),
    upstreams: z.array(nameSchema).min(1).max(MAXIMUM_COMMAND_ITEMS),
  }),
]);

/** A command to the orders machine. */
export type OrdersCommand = Readonly<z.infer<typeof ordersCommandSchema>>;
/** Version of a model that an engine is to serve. */
export type DesiredVersion = Readonly<z.infer<typeof desiredVersionSchema>>;

/** Reply to a command or query: the orders that a `wish` command set, or all orders for a query. */
export interface OrdersReply {
  readonly orders: readonly EngineOrder[];
}

/**
 * Stores desired versions with their fences.
 *
 * @example
 * ```ts
 * const orders = new OrdersMachine();
 * orders.apply({
 *   index: 7,
 *   atMs: 0,
 *   command: { kind: "wish", wishes: [{ upstream: "e1", model: "advice", version: 4 }] },
 * });
 * ```
 */
export class OrdersMachine
  extends StateMachine<unknown, OrdersReply, unknown, OrdersReply> {
  override readonly name = "orders" as const;
  #orders = new Map<string, EngineOrder>();

  override apply(entry: Committed<unknown>): Result<OrdersReply, Failure> {
    const parsed = ordersCommandSchema.safeParse(entry.command);
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      const field = issue?.path.join(".") ?? "";
      return Err(
        fail("malformed_request", `${field}: ${issue?.message}`, { field }),
      );
    }
    return match(parsed.data)
      .with(
        { kind: "wish" },
        ({ wishes }) => this.#setDesiredVersions(wishes, entry.index),
      )
      .with(
        { kind: "forget" },
        ({ upstreams }) => this.#removeOrders(upstreams),
      )
      .exhaustive();
  }

  override query(_question: unknown): Result<OrdersReply, Failure> {
    return Ok({ orders: [...this.#orders.values()] });
  }

  override snapshot(): unknown {
    return [...this.#orders.values()].map((order) => ({ ...order }));
  }

  override restore(state: unknown): void {
    const orders = state as readonly EngineOrder[];
    this.#orders = new Map(orders.map((order) => [orderKey(order), order]));
  }

  #setDesiredVersions(
    desiredVersions: readonly DesiredVersion[],
    index: number,
  ): Result<OrdersReply, Failure> {
    for (const desired of desiredVersions) {
      const known = this.#orders.get(orderKey(desired));
      if (known === undefined || known.version <= desired.version) continue;
      const message =
        `${desired.upstream} already has an order for the newer version ${known.version}`;
      return Err(fail("conflict", message, { detail: desired.upstream }));
    }
    if (this.#orders.size + desiredVersions.length > MAXIMUM_STORED_ORDERS) {
      return Err(
        fail("too_many_requests", "the maximum number of orders is stored"),
      );
    }
    const orders: EngineOrder[] = [];
    for (const desired of desiredVersions) {
      const order = {
        upstream: desired.upstream,
        model: desired.model,
        version: desired.version,
        fence: index,
      };
      this.#orders.set(orderKey(desired), order);
      orders.push(order);
    }
    return Ok({ orders });
  }

  #removeOrders(upstreams: readonly string[]): Result<OrdersReply, Failure> {
    const gone = new Set(upstreams);
    for (const [key, order] of this.#orders) {
      if (gone.has(order.upstream)) this.#orders.delete(key);
    }
    return Ok({ orders: [] });
  }
}

function orderKey(
  wish: { readonly upstream: string; readonly model: string },
): string {
  return JSON.stringify([wish.upstream, wish.model]);
}
