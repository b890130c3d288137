/**
 * The request body of a completion as engines receive it.
 *
 * @module
 */
import { z } from "zod";
import { parseJsonObject } from "./fake_server.ts";

const SCHEMA = z.object({
  request_id: z.string().min(1),
  model: z.string().min(1),
  prompt: z.string(),
  max_tokens: z.number().int().min(1),
  seed: z.number().int(),
  stream: z.boolean().optional(),
  resume: z.object({
    text: z.string(),
    tokens: z.number().int().min(0),
  }).optional(),
  kv: z.string().optional(),
});

/** A completion request. */
export type CompletionRequest = z.infer<typeof SCHEMA>;

/** Parses the body; returns undefined if it is malformed. */
export function parseCompletionRequest(
  text: string,
): CompletionRequest | undefined {
  const parsed = SCHEMA.safeParse(parseJsonObject(text));
  return parsed.success ? parsed.data : undefined;
}
