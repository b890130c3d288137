/**
 * The state that an engine reports of itself.
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

/** Body of an engine's response to `GET /v1/state`. */
export type EngineState = Readonly<z.infer<typeof engineStateSchema>>;

/** Port for reading the state of engines. */
export abstract class EngineStatePort {
  /** Requests the engine's state, within `timeoutMs`. */
  abstract readState(
    address: Address,
    timeoutMs: Milliseconds,
  ): Promise<Result<EngineState, Failure>>;
}

/** Parses the body of `GET /v1/state`; fails with `upstream_failed` if it doesn't match the schema. */
export function parseEngineState(body: string): Result<EngineState, Failure> {
  try {
    const parsed = engineStateSchema.safeParse(JSON.parse(body));
    if (parsed.success) return Ok(parsed.data);
  } catch {
    return Err(fail("upstream_failed", "engine state is not valid JSON"));
  }
  return Err(fail("upstream_failed", "engine state doesn't match its schema"));
}
