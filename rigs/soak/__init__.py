"""A soak test of the mesh with real processes: a seeded plan of overlapping configuration writes, signals and
link faults, clients with persistent connections, and ledgers that check what is observed from outside."""
