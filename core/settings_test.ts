import assert from "node:assert/strict";
import { test } from "node:test";
import { z } from "zod";
import { readSettings, settingVariable } from "./settings.ts";

const DEFINITIONS = {
  "listen-port": {
    help: "TCP port",
    schema: z.coerce.number().int().min(1).max(65_535),
    example: "7000",
  },
  "zone": {
    help: "Availability zone",
    schema: z.string().min(1),
    example: "a",
  },
};

test("a flag takes precedence over the environment variable of the same setting", () => {
  const settings = readSettings(DEFINITIONS, {
    argv: ["--listen-port", "7001"],
    environment: { CICADAFIELD_LISTEN_PORT: "7002", CICADAFIELD_ZONE: "b" },
  });
  assert.deepEqual(settings.unwrap(), { "listen-port": 7001, "zone": "b" });
});

test("all errors in the settings are reported together", () => {
  const settings = readSettings(DEFINITIONS, {
    argv: ["--listen-port", "0", "--colour", "red"],
    environment: {},
  });
  assert.equal(settings.ok, false);
  const names = (settings.val as readonly { setting: string }[])
    .map((error) => error.setting);
  assert.deepEqual(names, ["colour", "listen-port", "zone"]);
});

test("the environment variable of a flag has the prefix and underscores", () => {
  assert.equal(settingVariable("listen-port"), "CICADAFIELD_LISTEN_PORT");
});
