/**
 * Settings of `cicadafield-entry`.
 *
 * @module
 */
import { vmListSetting } from "./address_setting.ts";
import { SHARED_SETTINGS } from "./shared_settings.ts";

/** Settings of an entry VM. */
export const ENTRY_SETTINGS = {
  ...SHARED_SETTINGS,
  "zone-vms": {
    help:
      "Other entry VMs of this zone to contact until a bundle is known, as a comma-separated list of NAME@ZONE=HOST:PORT.",
    schema: vmListSetting("entry"),
    fallback: "",
    example: "entry-a2@a=10.0.1.8:7000",
  },
} as const;
