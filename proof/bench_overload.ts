/**
 * `npm run bench -- overload`: the request policy under overload, against round-robin without limits and the previous
 * version of the policy. Runs in virtual time, so that the figures are the same on every machine.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import {
  BASELINE_POLICY_SETTINGS,
  DEFAULT_POLICY_SETTINGS,
  type PolicySettings,
} from "#requests";
import type { BenchFigures, BenchOptions } from "./bench.ts";
import type { SiteFigures, SitePolicy } from "./overload_parts.ts";
import { OverloadSite } from "./overload_site.ts";

const LOADS = [0.5, 1, 2, 4] as const;
const SEEDS = [1, 2, 3] as const;
const DURATION_MS: Milliseconds = 180_000;
const QUICK_DURATION_MS: Milliseconds = 60_000;

interface Row {
  readonly drafting_part_of_alone: number;
  readonly goodput_tokens_per_second: number;
  readonly trainer_idle_part: number;
  readonly step_p50_s: number;
  readonly step_p99_s: number;
  readonly lookup_p50_ms: number;
  readonly lookup_p99_ms: number;
  readonly lookups_answered_part: number;
  readonly refusal_p99_ms: number;
  readonly wasted_tokens_part: number;
}

/** Runs the benchmark. */
export function run(options: BenchOptions): Promise<BenchFigures> {
  const durationMs = options.quick ? QUICK_DURATION_MS : DURATION_MS;
  const policies: Readonly<Record<string, SitePolicy>> = {
    round_robin: { kind: "round_robin" },
    previous: schedulerPolicy(BASELINE_POLICY_SETTINGS),
    current: schedulerPolicy(DEFAULT_POLICY_SETTINGS),
  };
  const figures: Record<string, unknown> = {};
  for (const [name, policy] of Object.entries(policies)) {
    const alone = runSites({ policy, load: null, durationMs });
    const rows: Record<string, unknown> = { alone: computeRow(alone, alone) };
    for (const load of LOADS) {
      const runs = runSites({ policy, load, durationMs });
      rows[`load_${load}`] = computeRow(runs, alone);
    }
    figures[name] = rows;
  }
  return Promise.resolve({
    virtual_seconds: durationMs / 1_000,
    seeds: SEEDS.length,
    ...figures,
  });
}

function schedulerPolicy(settings: PolicySettings): SitePolicy {
  return { kind: "scheduler", settings };
}

interface SiteRuns {
  readonly sites: readonly SiteFigures[];
  readonly durationMs: Milliseconds;
}

function runSites(options: {
  readonly policy: SitePolicy;
  readonly load: number | null;
  readonly durationMs: Milliseconds;
}): SiteRuns {
  const sites = SEEDS.map((seed) =>
    new OverloadSite({ ...options, seed }).run()
  );
  return { sites, durationMs: options.durationMs };
}

function computeRow(runs: SiteRuns, alone: SiteRuns): Row {
  const { sites, durationMs } = runs;
  const sum = (value: (site: SiteFigures) => number): number =>
    sites.reduce((total, site) => total + value(site), 0);
  const collect = (
    value: (site: SiteFigures) => readonly number[],
  ): readonly number[] => sites.flatMap(value);
  const drafting = sum((site) => site.draftingTokens);
  const lookups = sum((site) => site.lookupTokens);
  const wasted = sum((site) => site.wastedTokens);
  const draftingAlone = alone.sites
    .reduce((total, site) => total + site.draftingTokens, 0);
  const seconds = durationMs / 1_000 * sites.length;
  const steps = collect((site) => site.stepTimesMs);
  const lookupTimes = collect((site) => site.lookupTimesMs);
  const rejections = collect((site) => site.rejectionTimesMs);
  const offered = sum((site) => site.lookupsOffered);
  return {
    drafting_part_of_alone: round(drafting / draftingAlone),
    goodput_tokens_per_second: round((drafting + lookups) / seconds),
    trainer_idle_part: round(sum((site) => site.idleFraction) / sites.length),
    step_p50_s: round(quantile(steps, 0.5) / 1_000),
    step_p99_s: round(quantile(steps, 0.99) / 1_000),
    lookup_p50_ms: round(quantile(lookupTimes, 0.5)),
    lookup_p99_ms: round(quantile(lookupTimes, 0.99)),
    lookups_answered_part: round(lookupTimes.length / Math.max(1, offered)),
    refusal_p99_ms: round(quantile(rejections, 0.99)),
    wasted_tokens_part: round(wasted / (drafting + lookups + wasted)),
  };
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * fraction)] ?? 0;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
