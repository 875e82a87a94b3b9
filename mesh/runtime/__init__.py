"""The process environment: settings file, deploy file, start, signals, introspection."""
