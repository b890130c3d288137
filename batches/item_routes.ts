/**
 * Finds the route by which the items of an accepted batch run now, and tells for which items there is none any more.
 *
 * @module
 */
import type { Clock, Milliseconds, RouteRule } from "#core";
import type { RouteRules } from "#requests";
import type { BatchHeader } from "./batch_types.ts";
import type { ItemTask } from "./item_task.ts";

/**
 * Time for which an item waits for its route to come back before it is abandoned. An operator who replaces a route in
 * two steps takes less; a step gets the results that it can still get when this is far below its due time.
 */
const ROUTE_RETURN_MS: Milliseconds = 3_000;

/** What was found for a task under one version of the rules. */
interface Found {
  readonly rules: RouteRules;
  readonly route: RouteRule | undefined;
}

/** The routes of the items in progress. */
export class ItemRoutes {
  readonly #clock: Clock;
  readonly #found = new WeakMap<ItemTask, Found>();
  /** Since when there has been no route for a task. */
  readonly #absentSinceMs = new WeakMap<ItemTask, Milliseconds>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns the route of an item under the rules, or undefined if there is none. */
  find(task: ItemTask, rules: RouteRules | null): RouteRule | undefined {
    if (rules === null) return undefined;
    const known = this.#found.get(task);
    if (known?.rules === rules) return known.route;
    const route = findItemRoute(rules, task.batch, task.item.target);
    this.#found.set(task, { rules, route });
    return route;
  }

  /**
   * Whether the route of an item has ended: rules no older than those under which its batch was accepted have had none
   * for `ROUTE_RETURN_MS`.
   */
  hasEnded(task: ItemTask, rules: RouteRules | null): boolean {
    const { configurationVersion = 0 } = task.batch;
    if (rules === null || rules.version < configurationVersion) return false;
    if (this.find(task, rules) !== undefined) {
      this.#absentSinceMs.delete(task);
      return false;
    }
    const nowMs = this.#clock.nowMs();
    const sinceMs = this.#absentSinceMs.get(task) ?? nowMs;
    this.#absentSinceMs.set(task, sinceMs);
    return nowMs - sinceMs >= ROUTE_RETURN_MS;
  }
}

/**
 * Returns the batch route that host and path select now. The name of a route selects nothing: a configuration may give
 * a route another name, or its name to another route.
 *
 * @example
 * ```ts
 * findItemRoute(rules, { host: "h", path: "/b/1" }, "/b/1/x?y=1");
 * ```
 */
export function findItemRoute(
  rules: RouteRules,
  batch: Pick<BatchHeader, "host" | "path">,
  target: string,
): RouteRule | undefined {
  const own = rules.find(batch.host, pathOf(target));
  if (own?.kind === "batch") return own;
  // A trainer may name paths that are under no route; its items then run where its submission went.
  if (batch.path === undefined) return undefined;
  const submission = rules.find(batch.host, batch.path);
  return submission?.kind === "batch" ? submission : undefined;
}

/** Returns the path of an HTTP target, without its query. */
export function pathOf(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}
