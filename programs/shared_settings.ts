/**
 * Settings that the entry and control programs share.
 *
 * @module
 */
import { z } from "zod";
import {
  hostSetting,
  nameSetting,
  portSetting,
  vmListSetting,
} from "./address_setting.ts";

/** Settings of every VM program. */
export const SHARED_SETTINGS = {
  "cluster": {
    help: "Name of the cluster; peers of another cluster are refused.",
    schema: nameSetting,
    example: "nbo",
  },
  "vm": {
    help: "Name of this VM, as the bundle lists it.",
    schema: nameSetting,
    example: "entry-a1",
  },
  "zone": {
    help: "Availability zone of this VM.",
    schema: nameSetting,
    example: "a",
  },
  "listen-host": {
    help: "IP number on which this VM listens and from which it connects.",
    schema: hostSetting,
    example: "10.0.1.7",
  },
  "http-port": {
    help: "TCP port for callers, upstreams, operators and the platform.",
    schema: portSetting,
    fallback: "8000",
    example: "8000",
  },
  "peer-port": {
    help: "TCP port for the other VMs of the system.",
    schema: portSetting,
    fallback: "7000",
    example: "7000",
  },
  "control-vms": {
    help:
      "Control VMs to ask before a bundle is known: NAME@ZONE=HOST:PORT, separated by commas.",
    schema: vmListSetting("control"),
    example: "control-a1@a=10.0.1.7:7100,control-b1@b=10.0.2.7:7100",
  },
  "log-level": {
    help: "Lowest level that is logged: debug, info, warn or error.",
    schema: z.enum(["debug", "info", "warn", "error"]),
    fallback: "info",
    example: "info",
  },
  "drain-notice-ms": {
    help:
      "Milliseconds for which a stopping VM is not ready but still accepts, so that the balancer can notice.",
    schema: z.coerce.number().int().min(0).max(120_000),
    fallback: "5000",
    example: "5000",
  },
  "test-cut-file": {
    help:
      "For tests on loopback only: a file with the names of VMs, one a line, whose messages this VM neither sends nor takes.",
    schema: z.string(),
    fallback: "",
    example: "/tmp/cut",
  },
} as const;
