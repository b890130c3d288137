/**
 * Garbage collection on request.
 *
 * @module
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

let collect: (() => void) | undefined;

/**
 * Collects garbage now; blocks for some milliseconds. For a moment at which much memory outside the JavaScript heap
 * has just become free: the runtime looks for it only after tens of megabytes more have been allocated.
 */
export function collectGarbage(): void {
  if (collect === undefined) {
    setFlagsFromString("--expose-gc");
    collect = runInNewContext("gc") as () => void;
  }
  collect();
}
