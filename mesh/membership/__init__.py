"""Membership without I/O: heartbeats, incarnations of upstreams, rendezvous, failure detection, leases."""
