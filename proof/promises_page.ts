/**
 * Finds the tests that `docs/PROMISES.md` refers to, and those of them that do not exist.
 *
 * @module
 */
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";

/** Checks are tests that run apart from the others; see `test:crowds` in `package.json`. */
const TEST_FILE_SUFFIXES = ["_test.ts", "_check.ts"];
const SKIPPED_FOLDERS: readonly string[] = ["build", "node_modules", ".git"];
/** Matches a reference to a test, such as `file_test.ts`: "title". */
const REFERENCE_PATTERN = /`([\w/]+_(?:test|check)\.ts)`:\s+"([^"]+)"/g;
/** Matches the declaration of a test in the code. */
const DECLARATION_PATTERN = /\btest\(\s*(?:"((?:[^"\\]|\\.)*)"|`([^`]*)`)/g;

/** A test that a page refers to. */
export interface TestReference {
  readonly file: string;
  readonly title: string;
}

/**
 * Returns the tests that a page refers to.
 *
 * @example
 * ```ts
 * testReferences('`wire/frame_test.ts`: "a frame cut short waits for the rest"');
 * ```
 */
export function testReferences(page: string): readonly TestReference[] {
  const references: TestReference[] = [];
  for (const [, file = "", title = ""] of page.matchAll(REFERENCE_PATTERN)) {
    references.push({ file, title: title.replaceAll(/\s+/g, " ") });
  }
  return references;
}

/** Returns the titles of the tests that a file declares. */
export function declaredTitles(code: string): ReadonlySet<string> {
  const titles = new Set<string>();
  for (const [, quoted, template] of code.matchAll(DECLARATION_PATTERN)) {
    const title = quoted ?? template ?? "";
    titles.add(title.replaceAll(/\\(.)/g, "$1").replaceAll(/\s+/g, " "));
  }
  return titles;
}

/** Returns the references whose file or title does not exist below `root`. */
export async function missingTests(
  references: readonly TestReference[],
  root: string,
): Promise<readonly TestReference[]> {
  const missing: TestReference[] = [];
  for (const reference of references) {
    const titles = await readDeclaredTitles(join(root, reference.file));
    if (!titles.has(reference.title)) missing.push(reference);
  }
  return missing;
}

/** Returns the paths of all test files below `root`, relative to it. */
export async function testFiles(
  root: string,
  folder = "",
): Promise<readonly string[]> {
  const files: string[] = [];
  for (
    const entry of await readdir(join(root, folder), { withFileTypes: true })
  ) {
    if (SKIPPED_FOLDERS.includes(entry.name)) continue;
    const path = join(folder, entry.name);
    if (entry.isDirectory()) files.push(...await testFiles(root, path));
    else if (isTestFile(entry.name)) files.push(path);
  }
  return files;
}

async function readDeclaredTitles(file: string): Promise<ReadonlySet<string>> {
  try {
    return declaredTitles(await readFile(file, "utf8"));
  } catch {
    return new Set();
  }
}

function isTestFile(name: string): boolean {
  return TEST_FILE_SUFFIXES.some((suffix) => name.endsWith(suffix));
}
