/**
 * Orders: the state machine that holds which version each engine shall serve. The index of the commit
 * that set a wish is the fence of the order.
 *
 * @module
 */
import {
  type Committed,
  Err,
  fail,
  type Failure,
  Ok,
  type OrderView,
  type Result,
  StateMachine,
} from "#core";
import { match } from "ts-pattern";
import { z } from "zod";

/** Most wishes in one command. */
export const MAXIMUM_WISHES = 4_096;
/** Most wishes kept. */
const MAXIMUM_KEPT = 65_536;

const name = z.string().min(1).max(128);

const wishSchema = z.object({
  upstream: name,
  model: name,
  version: z.number().int().nonnegative(),
});

/** Schema of all commands. */
export const ordersCommandSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("wish"),
    wishes: z.array(wishSchema).min(1).max(MAXIMUM_WISHES),
  }),
  z.object({
    kind: z.literal("forget"),
    upstreams: z.array(name).min(1).max(MAXIMUM_WISHES),
  }),
]);

/** A command of the orders. */
export type OrdersCommand = Readonly<z.infer<typeof ordersCommandSchema>>;
/** What an engine shall serve. */
export type Wish = Readonly<z.infer<typeof wishSchema>>;

/** The reply to a command: the wishes that stand after it, of the engines it named. */
export interface OrdersReply {
  readonly orders: readonly OrderView[];
}

/**
 * Holds wished versions with their fences.
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
  #orders = new Map<string, OrderView>();

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
      .with({ kind: "wish" }, ({ wishes }) => this.#wish(wishes, entry.index))
      .with({ kind: "forget" }, ({ upstreams }) => this.#forget(upstreams))
      .exhaustive();
  }

  override ask(_question: unknown): Result<OrdersReply, Failure> {
    return Ok({ orders: [...this.#orders.values()] });
  }

  override snapshot(): unknown {
    return [...this.#orders.values()].map((order) => ({ ...order }));
  }

  override restore(state: unknown): void {
    const orders = state as readonly OrderView[];
    this.#orders = new Map(orders.map((order) => [keyOf(order), order]));
  }

  #wish(
    wishes: readonly Wish[],
    index: number,
  ): Result<OrdersReply, Failure> {
    for (const wish of wishes) {
      const known = this.#orders.get(keyOf(wish));
      if (known === undefined || known.version <= wish.version) continue;
      const message =
        `${wish.upstream} is already wished at version ${known.version}`;
      return Err(fail("conflict", message, { detail: wish.upstream }));
    }
    if (this.#orders.size + wishes.length > MAXIMUM_KEPT) {
      return Err(fail("too_many_requests", "too many wishes are kept"));
    }
    const orders: OrderView[] = [];
    for (const wish of wishes) {
      const order = {
        upstream: wish.upstream,
        model: wish.model,
        version: wish.version,
        fence: index,
      };
      this.#orders.set(keyOf(wish), order);
      orders.push(order);
    }
    return Ok({ orders });
  }

  #forget(upstreams: readonly string[]): Result<OrdersReply, Failure> {
    const gone = new Set(upstreams);
    for (const [key, order] of this.#orders) {
      if (gone.has(order.upstream)) this.#orders.delete(key);
    }
    return Ok({ orders: [] });
  }
}

function keyOf(
  wish: { readonly upstream: string; readonly model: string },
): string {
  return JSON.stringify([wish.upstream, wish.model]);
}
