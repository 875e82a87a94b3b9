"""The admin interface: readiness and statistics over HTTP. Loaded only if an address for it is configured."""
