/**
 * Builds fakes from validated settings.
 *
 * @module
 */
import type { Clock, EventLog, SettingValues } from "#core";
import { FakeEngine } from "./engine.ts";
import type {
  COMMON_SETTINGS,
  ENGINE_SETTINGS,
  SERVICE_SETTINGS,
  TRAINER_SETTINGS,
  WEIGHT_STORE_SETTINGS,
} from "./fake_settings.ts";
import { FakeService } from "./service.ts";
import { FakeTrainer } from "./trainer.ts";
import type { UpstreamServerOptions } from "./upstream_server.ts";
import { FakeWeightStore } from "./weight_store.ts";

/** Dependencies of every fake besides its settings. */
export interface FakeDependencies {
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Builds a fake engine. */
export function buildEngine(
  values: SettingValues<typeof ENGINE_SETTINGS>,
  dependencies: FakeDependencies,
): FakeEngine {
  return new FakeEngine({
    ...upstreamOptions(values, dependencies),
    model: values["model"],
    version: values["version"],
    weightStoreUrl: values["weight-store"],
    swapMs: values["swap-ms"],
    enforcesFences: values["enforces-fences"],
    reportsVersions: values["reports-versions"],
    performance: {
      tokenMs: values["token-ms"],
      slowdownAtCapacity: values["slowdown-at-capacity"],
      prefillTokenMs: values["prefill-token-ms"],
      cacheTokens: values["cache-tokens"],
    },
    naturalTokens: {
      shortest: values["shortest-answer"],
      longest: values["longest-answer"],
    },
    slowFraction: values["slow-part"],
    slowFactor: values["slow-factor"],
    chunkIntervalMs: 10,
  });
}

/** Builds a fake plain service. */
export function buildService(
  values: SettingValues<typeof SERVICE_SETTINGS>,
  dependencies: FakeDependencies,
): FakeService {
  return new FakeService({
    ...upstreamOptions(values, dependencies),
    services: values["services"],
    workMs: values["work-ms"],
  });
}

/** Builds a fake weight store. */
export function buildWeightStore(
  values: SettingValues<typeof WEIGHT_STORE_SETTINGS>,
  dependencies: FakeDependencies,
): FakeWeightStore {
  return new FakeWeightStore({
    ...upstreamOptions(values, dependencies),
    loadsPerSecond: values["loads-per-second"],
    transferMs: values["transfer-ms"],
  });
}

/** Builds a fake trainer. */
export function buildTrainer(
  values: SettingValues<typeof TRAINER_SETTINGS>,
  dependencies: FakeDependencies,
): FakeTrainer {
  return new FakeTrainer({
    ...dependencies,
    trainer: values["trainer"],
    model: values["model"],
    entries: values["entry"],
    steps: values["steps"],
    firstStep: values["first-step"],
    cursor: values["cursor"],
    stepsAhead: values["steps-ahead"],
    groups: values["groups"],
    groupSize: values["group-size"],
    maximumTokens: values["maximum-tokens"],
    maximumStaleness: values["maximum-staleness"],
    deadlineMs: values["deadline-ms"],
    trainMs: values["train-ms"],
    version: values["version"],
    publishIntervalSteps: values["publish-every"],
    pageLimit: values["page-limit"],
    waitMs: values["wait-ms"],
  });
}

function upstreamOptions(
  values: SettingValues<typeof COMMON_SETTINGS>,
  dependencies: FakeDependencies,
): UpstreamServerOptions {
  const configuredIncarnation = values["incarnation"];
  return {
    ...dependencies,
    id: values["id"],
    incarnation: configuredIncarnation > 0
      ? configuredIncarnation
      : dependencies.clock.wallMs(),
    zone: values["zone"],
    listen: { host: values["listen-host"], port: values["listen-port"] },
    entries: values["entry"],
    renewIntervalMs: values["renew-ms"],
    reportIntervalMs: values["report-ms"],
    reportLagMs: values["report-lag-ms"],
    capacity: values["capacity"],
  };
}
