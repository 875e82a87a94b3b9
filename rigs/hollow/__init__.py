"""Hollow proxies: sidecars without calls, many in one process, that speak the mesh's frames through the
shipped `dissemination`, `transport`, `membership` and `rollout` code, beside real processes on loopback."""
