/**
 * Loaded into a process before its program: shifts its time of day by what a file says, in milliseconds. The steady
 * clock is not affected.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";

const FILE_VARIABLE = "CICADAFIELD_SOAK_CLOCK";
const READ_INTERVAL_MS = 50;

const file = process.env[FILE_VARIABLE];
if (file !== undefined) {
  const now = Date.now;
  let shiftMs = 0;
  Date.now = () => now() + shiftMs;
  setInterval(() => {
    shiftMs = Number(readFileSync(file, "utf8"));
  }, READ_INTERVAL_MS).unref();
}
