/**
 * VMs and upstreams: probes between VMs, announcements of upstreams and their spreading within and across zones, relaying of accepted bundles.
 *
 * @module
 */
export {};
