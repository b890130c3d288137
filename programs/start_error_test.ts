import assert from "node:assert/strict";
import { test } from "node:test";
import { startErrorText } from "./start_error.ts";

function systemError(fields: Readonly<Record<string, unknown>>): Error {
  return Object.assign(new Error("raw text of the system"), fields);
}

test("the errors for a port in use and an unwritable folder say what to do", () => {
  const inUse = systemError({
    code: "EADDRINUSE",
    address: "127.3.0.1",
    port: 7000,
  });
  assert.match(
    startErrorText("cicadafield-entry", inUse),
    /^cicadafield-entry: 127\.3\.0\.1:7000 is in use; .*another port$/,
  );
  const unwritable = systemError({ code: "EACCES", path: "/data/log" });
  assert.match(
    startErrorText("cicadafield-control", unwritable),
    /\/data\/log can't be written; .*another data folder$/,
  );
});

test("an error without a known code is reported with its original message", () => {
  assert.equal(startErrorText("p", new Error("odd")), "p: odd");
});
