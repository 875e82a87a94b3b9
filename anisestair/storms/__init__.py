"""Detects storms of retries and reconnects from the traffic of one sidecar, and spreads clients' retries."""
