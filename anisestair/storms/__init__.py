"""Storms of retries and reconnects: seen from this sidecar's own traffic, and returns that are spread."""
