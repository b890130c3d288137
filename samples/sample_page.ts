/**
 * HTTP response that delivers samples to a trainer. Equal pages produce byte-identical responses.
 *
 * @module
 */
import { type HttpResponse, jsonResponse, type VersionRun } from "#core";
import { unpackTexts } from "./group_text.ts";
import type { DeliveredGroup, DeliverReply } from "./ledger_types.ts";

/** One sample as a trainer receives it. */
export interface DeliveredSample {
  readonly trainer: string;
  readonly step: number;
  readonly group: number;
  readonly index: number;
  readonly prompt: string;
  readonly text: string;
  readonly tokens: number;
  readonly versions: readonly VersionRun[];
  readonly score: number;
  readonly deliveredAtVersion: number;
}

/** Returns the response for one page. */
export function pageResponse(
  trainer: string,
  page: DeliverReply,
): HttpResponse {
  const samples: DeliveredSample[] = [];
  for (const group of page.groups) {
    samples.push(...toDeliveredSamples(trainer, group));
  }
  return jsonResponse(200, { cursor: page.cursor, samples });
}

function toDeliveredSamples(
  trainer: string,
  group: DeliveredGroup,
): readonly DeliveredSample[] {
  const lengths = group.samples.map((sample) => sample.textBytes);
  const texts = unpackTexts(group.text, lengths);
  return group.samples.map((sample, index) => ({
    trainer,
    step: group.step,
    group: group.group,
    index,
    prompt: group.prompt,
    text: texts[index] ?? "",
    tokens: sample.tokens,
    versions: sample.versions.map(({ version, tokens }) => ({
      version,
      tokens,
    })),
    score: sample.score,
    deliveredAtVersion: group.deliveredAtVersion,
  }));
}
