"""How a process runs: settings file, deploy file, start and signals, introspection."""
