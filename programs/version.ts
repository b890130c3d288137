/**
 * The version of the programs.
 *
 * @module
 */

/** Version of all programs; equal to the version in `package.json`. */
export const VERSION = "0.1.0";
