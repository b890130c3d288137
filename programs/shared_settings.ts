/**
 * Settings common to the entry and control programs.
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

/** Settings of every program that runs on a VM. */
export const SHARED_SETTINGS = {
  "cluster": {
    help: "Name of the cluster; peers of another cluster are rejected.",
    schema: nameSetting,
    example: "nbo",
  },
  "vm": {
    help: "Name of this VM, as listed in the bundle.",
    schema: nameSetting,
    example: "entry-a1",
  },
  "zone": {
    help: "Availability zone of this VM.",
    schema: nameSetting,
    example: "a",
  },
  "listen-host": {
    help: "IP address on which this VM listens and from which it connects.",
    schema: hostSetting,
    example: "10.0.1.7",
  },
  "http-port": {
    help:
      "TCP port for HTTP requests of callers, upstreams, operators and the platform.",
    schema: portSetting,
    fallback: "8000",
    example: "8000",
  },
  "peer-port": {
    help: "TCP port for connections from other VMs of the cluster.",
    schema: portSetting,
    fallback: "7000",
    example: "7000",
  },
  "control-vms": {
    help:
      "Control VMs to contact until a bundle is known, as a comma-separated list of NAME@ZONE=HOST:PORT.",
    schema: vmListSetting("control"),
    example: "control-a1@a=10.0.1.7:7100,control-b1@b=10.0.2.7:7100",
  },
  "log-level": {
    help: "Minimum level of logged events: debug, info, warn or error.",
    schema: z.enum(["debug", "info", "warn", "error"]),
    fallback: "info",
    example: "info",
  },
  "drain-notice-ms": {
    help:
      "Time in milliseconds for which a stopping VM reports itself as not ready but still accepts connections, so that the load balancer can notice.",
    schema: z.coerce.number().int().min(0).max(120_000),
    fallback: "5000",
    example: "5000",
  },
  "test-cut-file": {
    help:
      "For tests on loopback only: a file with names of VMs, one per line, with which this VM exchanges no messages.",
    schema: z.string(),
    fallback: "",
    example: "/tmp/cut",
  },
} as const;
