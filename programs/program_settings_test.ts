import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { test } from "node:test";
import { z } from "zod";
import { readProgramSettings } from "./program_settings.ts";
import { VERSION } from "./version.ts";

const PROGRAM = {
  name: "cicadafield-entry",
  summary: "accepts requests.",
  definitions: {
    "minimum-wait-ms": {
      help: "Minimum wait in milliseconds.",
      schema: z.coerce.number().int().min(0),
      fallback: "5",
      example: "5",
    },
    "maximum-wait-ms": {
      help: "Maximum wait in milliseconds.",
      schema: z.coerce.number().int().min(0),
      example: "50",
    },
  },
  conflicts: (
    values: {
      readonly "minimum-wait-ms": number;
      readonly "maximum-wait-ms": number;
    },
  ) =>
    values["minimum-wait-ms"] <= values["maximum-wait-ms"] ? [] : [{
      setting: "minimum-wait-ms",
      value: String(values["minimum-wait-ms"]),
      message: "must not be over --maximum-wait-ms",
    }],
};

function read(...argv: readonly string[]) {
  return readProgramSettings(PROGRAM, { argv, environment: {} });
}

test("valid settings run the program", () => {
  assert.deepEqual(read("--maximum-wait-ms", "9"), {
    kind: "run",
    values: { "minimum-wait-ms": 5, "maximum-wait-ms": 9 },
  });
});

test("every error is listed with its flag, variable, value and an example", () => {
  const outcome = read("--colour", "red", "--minimum-wait-ms", "-1");
  assert.ok(outcome.kind === "exit");
  assert.equal(outcome.exitCode, 2);
  assert.match(outcome.text, /3 errors/);
  assert.match(outcome.text, /--colour.*unknown flag/);
  assert.match(
    outcome.text,
    /--minimum-wait-ms \(CICADAFIELD_MINIMUM_WAIT_MS\) "-1": .*>=0/,
  );
  assert.match(outcome.text, /--maximum-wait-ms .*required/);
  assert.match(outcome.text, /example: "50" \(required\)/);
});

test("conflicting settings are an error", () => {
  const outcome = read("--minimum-wait-ms", "8", "--maximum-wait-ms", "7");
  assert.ok(outcome.kind === "exit");
  assert.equal(outcome.exitCode, 2);
  assert.match(outcome.text, /"8": must not be over --maximum-wait-ms/);
});

test("--help lists each flag with its variable, and --version prints the version", () => {
  const help = read("--help");
  assert.ok(help.kind === "exit" && help.exitCode === 0);
  assert.match(help.text, /--maximum-wait-ms .*CICADAFIELD_MAXIMUM_WAIT_MS/);
  const version = read("--version");
  assert.ok(version.kind === "exit" && version.exitCode === 0);
  assert.equal(version.text, `cicadafield-entry ${VERSION}\n`);
});

test("the version equals that in package.json", async () => {
  const text = await readFile(new URL("../../package.json", import.meta.url));
  assert.equal(JSON.parse(text.toString()).version, VERSION);
});
