/**
 * What an engine says of itself when it is read.
 *
 * @module
 */
import {
  type Address,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";
import { z } from "zod";

const engineStateSchema = z.object({
  id: z.string(),
  incarnation: z.number(),
  fence: z.number(),
  models: z.array(z.object({
    model: z.string(),
    version: z.number(),
    state: z.enum(["serving", "loading", "failed"]),
  })),
});

/** The state of an engine. */
export type EngineState = Readonly<z.infer<typeof engineStateSchema>>;

/** Reads engines. */
export abstract class EngineStatePort {
  /** Reads what the engine serves. */
  abstract readState(
    address: Address,
    limitMs: Milliseconds,
  ): Promise<Result<EngineState, Failure>>;
}

/** Reads the body of `GET /v1/state`; `upstream_failed` if it has another shape. */
export function parseEngineState(body: string): Result<EngineState, Failure> {
  try {
    const parsed = engineStateSchema.safeParse(JSON.parse(body));
    if (parsed.success) return Ok(parsed.data);
  } catch {
    return Err(fail("upstream_failed", "the engine's state is not JSON"));
  }
  return Err(fail("upstream_failed", "the engine's state has a wrong shape"));
}
