import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { dirname, join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import {
  declaredTitles,
  missingTests,
  testReferences,
} from "./promises_page.ts";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");

test("a title that spans two lines of the page is joined", () => {
  const page = 'See `wire/frame_test.ts`: "a frame\n  cut short" and more.';
  assert.deepEqual(testReferences(page), [
    { file: "wire/frame_test.ts", title: "a frame cut short" },
  ]);
});

test("a title on the line after its declaration is found", () => {
  const code = 'test(\n  "the \\"first\\" one",\n  () => {},\n);';
  assert.deepEqual([...declaredTitles(code)], ['the "first" one']);
});

test("a reference to a test that does not exist is returned as missing", async () => {
  const own = "proof/promises_page_test.ts";
  const missing = await missingTests([
    {
      file: own,
      title: "a reference to a test that does not exist is returned as missing",
    },
    { file: own, title: "no such title" },
    { file: "proof/no_such_test.ts", title: "a title" },
  ], ROOT);
  assert.deepEqual(missing.map((each) => each.title), [
    "no such title",
    "a title",
  ]);
});

test("every test that the promises page refers to exists", async () => {
  const page = await readFile(join(ROOT, "docs/PROMISES.md"), "utf8");
  const references = testReferences(page);
  assert.ok(references.length > 0);
  assert.deepEqual(await missingTests(references, ROOT), []);
});
