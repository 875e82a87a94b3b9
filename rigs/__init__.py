"""Stand-ins for what surrounds a sidecar, for tests, benchmarks and trials on loopback addresses."""
