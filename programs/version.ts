/**
 * The version of the programs.
 *
 * @module
 */

/** Same as the version in `package.json`. */
export const VERSION = "0.1.0";
